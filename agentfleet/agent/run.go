package agent

import (
	"context"
	"sync"
	"time"

	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// A run is an attempt that was admitted here.
type run struct {
	dispatch *wire.Dispatch
	backend  *backend
	log      *answer.Log
	ctx      context.Context
	cancel   context.CancelFunc
	warm     bool
	load     float64 // of the engine, before the run was admitted

	mu      sync.Mutex
	readers int
	idle    *time.Timer // ends a run that no one reads
}

// newRun returns a run that has not begun.
func newRun(d *wire.Dispatch, b *backend, warm bool) *run {
	ctx, cancel := context.WithCancel(context.Background())
	return &run{
		dispatch: d,
		backend:  b,
		log:      answer.NewLog(d.Offset),
		ctx:      ctx,
		cancel:   cancel,
		warm:     warm,
	}
}

// attach counts a reader of the run.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.idle != nil {
		r.idle.Stop()
		r.idle = nil
	}
}

// detach counts a reader out. A repeatable run that no one reads any more ends
// after grace; one that may not be repeated goes on to its end.
func (r *run) detach(grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers > 0 || !r.dispatch.Repeatable {
		return
	}
	r.idle = time.AfterFunc(grace, r.cancel)
}
