package gateway

import (
	"sync"
	"time"
)

// A recent keeps, for each service, a value of the present window of time and that of the
// window before: what it holds counts for one window at least, and for two at most. It is
// safe for concurrent use.
type recent[T any] struct {
	window   time.Duration
	join     func(a, b T) T // the value of two spans of time together
	mu       sync.Mutex
	services map[string]*windows[T]
}

// windows are the values of one service.
type windows[T any] struct {
	began            time.Time // the present window
	current, earlier T
}

// newRecent returns a recent without any service.
func newRecent[T any](window time.Duration, join func(a, b T) T) *recent[T] {
	return &recent[T]{window: window, join: join, services: make(map[string]*windows[T])}
}

// add joins a value to that of a service.
func (r *recent[T]) add(now time.Time, service string, value T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.services[service]
	if w == nil {
		w = &windows[T]{began: now}
		r.services[service] = w
	}
	w.advance(now, r.window)
	w.current = r.join(w.current, value)
}

// of returns the value of a service lately: the zero value, if there was none.
func (r *recent[T]) of(now time.Time, service string) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.services[service]
	if w == nil {
		var none T
		return none
	}
	w.advance(now, r.window)
	return r.join(w.current, w.earlier)
}

// advance begins a new window if the present one has lasted for its time.
func (w *windows[T]) advance(now time.Time, window time.Duration) {
	age := now.Sub(w.began)
	if age < window {
		return
	}
	var none T
	w.earlier = none
	if age < 2*window {
		w.earlier = w.current
	}
	w.began, w.current = now, none
}
