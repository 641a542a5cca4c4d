package standin

import (
	"context"
	"sync"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
)

// A run is one attempt that an engine was given, with all events of its answer, so that
// the answer can be read from any event on.
type run struct {
	attempt  ryeford.AttemptID
	chat     ryeford.ChatID
	request  engine.CompletionRequest
	cancel   context.CancelFunc
	ctx      context.Context
	affected bool // by the fault
	record   int  // its index in EngineCounts.Runs

	mu      sync.Mutex
	events  []engine.CompletionChunk
	done    bool
	changed chan struct{}
}

func newRun(attempt ryeford.AttemptID, chat ryeford.ChatID, request engine.CompletionRequest) *run {
	ctx, cancel := context.WithCancel(context.Background())
	return &run{
		attempt: attempt,
		chat:    chat,
		request: request,
		ctx:     ctx,
		cancel:  cancel,
		changed: make(chan struct{}),
	}
}

// append adds an event.
func (r *run) append(event engine.CompletionChunk, last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	r.done = r.done || last
	close(r.changed)
	r.changed = make(chan struct{})
}

// from returns the events from an index on, whether they are the last, and
// what to wait on for more.
func (r *run) from(index int) ([]engine.CompletionChunk, bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[min(index, len(r.events)):], r.done, r.changed
}
