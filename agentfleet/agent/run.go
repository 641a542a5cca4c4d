package agent

import (
	"context"
	"sync"
	"time"

	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// A run is an attempt that was admitted here. Any number of streams read its
// answer.
//
// A run goes on to its end, whatever becomes of its readers, unless its request is
// repeatable: then it is cancelled when the caller gives the request up, or when it
// has had no reader for the grace period, in which a router may join it again.
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
	idle    *time.Timer // cancels the run at the end of the grace period
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

// attach counts a reader of the run and ends the grace period.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.idle != nil {
		r.idle.Stop()
		r.idle = nil
	}
}

// detach counts a reader out. Without the last one, the grace period of a
// repeatable run begins.
func (r *run) detach(grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers > 0 || !r.dispatch.Repeatable {
		return
	}
	r.idle = time.AfterFunc(grace, r.cancel)
}

// cancelIfRepeatable ends the run if its request may be repeated.
func (r *run) cancelIfRepeatable() {
	if r.dispatch.Repeatable {
		r.cancel()
	}
}
