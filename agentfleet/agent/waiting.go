package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// maxWaiting bounds how many dispatches wait at one engine.
const maxWaiting = 8

// waiting is the dispatches that wait for an engine's load to fall, those of
// the highest priority first.
type waiting struct {
	mu    sync.Mutex
	queue []*waiter
}

// A waiter is one dispatch that waits.
type waiter struct {
	priority ryeford.Priority
	ready    chan struct{} // closed when it is the waiter's turn
}

// enter adds a waiter, or returns nil where too many wait.
func (q *waiting) enter(priority ryeford.Priority) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) >= maxWaiting {
		return nil
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	at := slices.IndexFunc(q.queue, func(o *waiter) bool { return o.priority < priority })
	if at < 0 {
		at = len(q.queue)
	}
	q.queue = slices.Insert(q.queue, at, w)
	return w
}

// leave takes a waiter out, if it is still in.
func (q *waiting) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := slices.Index(q.queue, w); at >= 0 {
		q.queue = slices.Delete(q.queue, at, at+1)
	}
}

// wake tells the first waiter that it is its turn.
func (q *waiting) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) > 0 {
		close(q.queue[0].ready)
		q.queue = q.queue[1:]
	}
}

// admitOrWait decides on a dispatch. One that is refused for the load alone, by
// the engine that holds its chat's prefix, may wait a little for a run to end:
// that is shorter than to build the prefix anew elsewhere.
func (a *Agent) admitOrWait(ctx context.Context, d *wire.Dispatch) (*run, *wire.Refused) {
	r, refused := a.admit(d)
	b, ok := a.backends[d.Engine]
	if refused == nil || !ok || d.Wait <= 0 || !b.isWarm(d) {
		return r, refused
	}
	began := time.Now()
	limit := time.NewTimer(d.Wait)
	defer limit.Stop()
	for refused != nil && refused.Reason == ryeford.ReasonOverload {
		w := b.waiting.enter(d.Priority)
		if w == nil {
			break
		}
		// A run may have ended between the refusal and the entry.
		if r, refused = a.admit(d); refused == nil {
			b.waiting.leave(w)
			break
		}
		select {
		case <-w.ready:
			r, refused = a.admit(d)
		case <-limit.C:
			b.waiting.leave(w)
			return nil, refused
		case <-ctx.Done():
			b.waiting.leave(w)
			return nil, refused
		}
	}
	a.metrics.Observe("ryeford_warm_wait_seconds", time.Since(began).Seconds())
	return r, refused
}
