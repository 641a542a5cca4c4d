package standin

import (
	"context"
	"slices"
	"sync"
)

// slots bounds how many requests run at once; of those that wait, the one of
// the highest priority is next.
type slots struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	ready    chan struct{} // closed once the slot is its own
}

func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	at := slices.IndexFunc(s.waiting, func(o *waiter) bool { return o.priority < priority })
	if at < 0 {
		at = len(s.waiting)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := slices.Index(s.waiting, w); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
		return ctx.Err()
	}
	s.handOver()
	return ctx.Err()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOver()
}

// handOver passes a slot to the first waiter, or frees it if there is none.
func (s *slots) handOver() {
	if len(s.waiting) == 0 {
		s.free++
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(next.ready)
}
