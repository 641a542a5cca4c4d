package agent

import (
	"slices"
	"sync"

	"github.com/ryeford/ryeford"
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
