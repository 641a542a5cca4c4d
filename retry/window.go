package retry

import (
	"sync"
	"time"
)

const (
	// windowSlices is how many slices a Window's span is divided into. A request or a
	// retry counts for up to one slice longer than the span.
	windowSlices = 20
	// reserveShare is the part of the fleet's bound that is used. The rest covers
	// that routers count over slightly different spans. Without unit.
	reserveShare = 0.9
	// unseenRouters is how many live routers there are for each one that is assumed
	// beside them, because it has just started and is not yet known.
	unseenRouters = 4
)

// A Window is one router's retry budget for one service: over a sliding span of
// time, retries, which are attempts after a request's first, are at most
//
//	Ratio x requests + Reserve / routers
//
// All routers together then keep to Ratio x requests + Reserve without exchanging
// their counts. Its methods may be called concurrently.
type Window struct {
	limits WindowLimits

	mu     sync.Mutex
	epoch  time.Time
	slices [windowSlices + 1]windowSlice
}

// WindowLimits are the bounds of a Window.
type WindowLimits struct {
	Span time.Duration
	// Ratio is the part of this router's requests that may be sent again.
	Ratio float64
	// Reserve is how many retries all routers together may send beyond the ratio.
	Reserve float64
}

// A windowSlice counts what came in one part of the span.
type windowSlice struct {
	number   int64 // of the slice since the epoch
	requests int
	retries  int
}

// NewWindow returns an empty Window.
func NewWindow(now time.Time, limits WindowLimits) *Window {
	return &Window{limits: limits, epoch: now}
}

// CountRequest counts a caller's request.
func (w *Window) CountRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slice(now).requests++
}

// TakeRetry reports whether one more retry is within the budget, given among how many
// routers the Reserve is divided (Sharers), and if so counts it.
func (w *Window) TakeRetry(now time.Time, routers int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.slice(now)
	requests, retries := 0, 0
	for i := range w.slices {
		s := &w.slices[i]
		if s.number <= current.number-windowSlices-1 || s.number > current.number {
			continue
		}
		retries += s.retries
		requests += s.requests
	}
	if float64(retries+1) > w.limits.Ratio*float64(requests)+w.limits.Reserve/float64(max(1, routers)) {
		return false
	}
	current.retries++
	return true
}

// slice returns the slice in which a request or retry of a moment counts. A request
// is counted by its arrival, but only once it is admitted: what came before the first
// slice counts in that one, and what came so long ago that its slice is used anew
// counts in the newer one.
func (w *Window) slice(now time.Time) *windowSlice {
	number := max(0, int64(now.Sub(w.epoch)/(w.limits.Span/windowSlices)))
	s := &w.slices[number%(windowSlices+1)]
	if s.number < number {
		*s = windowSlice{number: number}
	}
	return s
}

// Sharers returns among how many routers the Reserve of a Window is divided, so
// that all of them together keep it without agreeing on each retry: the live ones
// and a quarter more, but at least the configured number, since a router that has
// lost touch with its peers must not take the whole reserve.
//
// alive counts this router and the peers it has heard from; a peer counts for a
// few seconds after its last message.
func Sharers(configured, alive int) int {
	return max(configured, alive+alive/unseenRouters)
}

// Windows holds the Window of each service that requests came for. Its methods may
// be called concurrently.
type Windows struct {
	limits WindowLimits

	mu      sync.Mutex
	windows map[string]*Window // by service
}

// NewWindows returns Windows that use reserveShare of what the operators let all
// routers together to send to each service.
func NewWindows(limits WindowLimits) *Windows {
	limits.Ratio *= reserveShare
	limits.Reserve *= reserveShare
	return &Windows{limits: limits, windows: make(map[string]*Window)}
}

// Of returns the Window of a service, which begins now if there is none yet.
func (w *Windows) Of(now time.Time, service string) *Window {
	w.mu.Lock()
	defer w.mu.Unlock()
	window := w.windows[service]
	if window == nil {
		window = NewWindow(now, w.limits)
		w.windows[service] = window
	}
	return window
}
