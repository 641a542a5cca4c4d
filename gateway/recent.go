package gateway

import "time"

// A recent is a value of the present window of time and that of the window before.
type recent[T any] struct {
	began            time.Time // the present window
	current, earlier T
}

// newRecent returns a recent whose present window begins now.
func newRecent[T any](now time.Time) *recent[T] { return &recent[T]{began: now} }

// advance begins a new window if the present one has lasted for its time.
func (r *recent[T]) advance(now time.Time, window time.Duration) {
	age := now.Sub(r.began)
	if age < window {
		return
	}
	var none T
	r.earlier = none
	if age < 2*window {
		r.earlier = r.current
	}
	r.began, r.current = now, none
}
