package gateway

import (
	"sync"
	"time"
)

// A slidingWindow aggregates values by service over the current and the previous window: a value
// counts for at least one window and at most two. It is safe for concurrent use.
type slidingWindow[T any] struct {
	window   time.Duration
	merge    func(a, b T) T // merges two aggregates
	mu       sync.Mutex
	services map[string]*windowPair[T]
}

// A windowPair holds the aggregates of one service.
type windowPair[T any] struct {
	started           time.Time // start of the current window
	current, previous T
}

func newSlidingWindow[T any](window time.Duration, merge func(a, b T) T) *slidingWindow[T] {
	return &slidingWindow[T]{window: window, merge: merge, services: make(map[string]*windowPair[T])}
}

// add merges a value into the current window of a service.
func (s *slidingWindow[T]) add(now time.Time, service string, value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.services[service]
	if w == nil {
		w = &windowPair[T]{started: now}
		s.services[service] = w
	}
	w.advance(now, s.window)
	w.current = s.merge(w.current, value)
}

// get returns the aggregate of a service, or the zero value if there is none.
func (s *slidingWindow[T]) get(now time.Time, service string) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.services[service]
	if w == nil {
		var zero T
		return zero
	}
	w.advance(now, s.window)
	return s.merge(w.current, w.previous)
}

// advance starts a new window if the current one is over.
func (w *windowPair[T]) advance(now time.Time, window time.Duration) {
	age := now.Sub(w.started)
	if age < window {
		return
	}
	var zero T
	w.previous = zero
	if age < 2*window {
		w.previous = w.current
	}
	w.started, w.current = now, zero
}
