package retry

import (
	"sync"
	"time"
)

// windowSlices is how many slices a Window's span is divided into.
const windowSlices = 20

// A Window bounds one service's arrivals beyond the first of each request, over
// a sliding span of time: at most Ratio x requests + Reserve. It is one router's
// own share of a bound that all routers together keep, and needs no word from
// the others.
type Window struct {
	limits WindowLimits

	mu     sync.Mutex
	epoch  time.Time
	slices [windowSlices + 1]windowSlice
}

// WindowLimits are the bounds of a Window.
type WindowLimits struct {
	Span  time.Duration
	Ratio float64
	// Reserve is what all routers together may have beyond the ratio.
	Reserve float64
}

type windowSlice struct {
	number   int64 // of the slice since the epoch
	requests int
	repeats  int
}

// NewWindow returns an empty Window.
func NewWindow(now time.Time, limits WindowLimits) *Window {
	return &Window{limits: limits, epoch: now}
}

// Request counts a caller's request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slice(now).requests++
}

// Repeat takes one arrival beyond a request's first, and reports whether the
// bound allows it to one of so many routers.
func (w *Window) Repeat(now time.Time, routers int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.slice(now)
	requests, repeats := 0, 0
	for i := range w.slices {
		s := &w.slices[i]
		if s.number <= current.number-windowSlices-1 || s.number > current.number {
			continue
		}
		repeats += s.repeats
		requests += s.requests
	}
	if float64(repeats+1) > w.limits.Ratio*float64(requests)+w.limits.Reserve/float64(max(1, routers)) {
		return false
	}
	current.repeats++
	return true
}

// slice returns the slice of a moment.
func (w *Window) slice(now time.Time) *windowSlice {
	number := int64(now.Sub(w.epoch) / (w.limits.Span / windowSlices))
	s := &w.slices[number%(windowSlices+1)]
	if s.number != number {
		*s = windowSlice{number: number}
	}
	return s
}
