package retry

import (
	"sync"
	"time"
)

const (
	// windowSlices is the number of slices of a Window. A request or a retry counts for up to
	// one slice longer than the window.
	windowSlices = 20
	// reserveShare is the share of the fleet's limit that is used. The rest compensates for
	// windows that are not aligned between routers.
	reserveShare = 0.9
	// liveRoutersPerUnseen is the number of live routers for which one further router is assumed that has
	// just started and is not yet known.
	liveRoutersPerUnseen = 4
)

// A Window is one router's retry budget for one service. Within a sliding window of time, retries,
// which are attempts after a request's first, are at most
//
//	Ratio x requests + Reserve / routers
//
// All routers together thus keep to Ratio x requests + Reserve without exchanging
// their counts. Its methods may be called concurrently.
type Window struct {
	limits WindowLimits

	mu     sync.Mutex
	epoch  time.Time
	slices [windowSlices + 1]windowSlice
}

// WindowLimits are the limits of a Window.
type WindowLimits struct {
	Length time.Duration // length of the sliding window
	// Ratio is the share of this router's requests that may be sent again.
	Ratio float64
	// Reserve is how many retries all routers together may send beyond the ratio.
	Reserve float64
}

// A windowSlice counts the requests and retries of one part of the window.
type windowSlice struct {
	number   int64 // number of the slice since the epoch
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

// TakeRetry reports whether one more retry is within the budget, and if so counts it. routers
// is the number of routers among which the Reserve is divided (ReserveDivisor).
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

// slice returns the slice for a request or retry at now. Requests are counted by their arrival time,
// but only once they are admitted. A request that arrived before the first slice counts in the first
// one, and one whose slice has been reused since counts in the newer slice.
func (w *Window) slice(now time.Time) *windowSlice {
	number := max(0, int64(now.Sub(w.epoch)/(w.limits.Length/windowSlices)))
	s := &w.slices[number%(windowSlices+1)]
	if s.number < number {
		*s = windowSlice{number: number}
	}
	return s
}

// ReserveDivisor returns the number of routers among which the Reserve of a Window is divided, so that
// all of them together keep to it without coordination: the live routers and a quarter more, but at least
// the configured number, since a router that is isolated from its peers must not take the whole reserve.
//
// live counts this router and its live peers.
func ReserveDivisor(configured, live int) int {
	return max(configured, live+live/liveRoutersPerUnseen)
}

// Windows holds a Window for each service that has received requests. Its methods may
// be called concurrently.
type Windows struct {
	limits WindowLimits

	mu      sync.Mutex
	windows map[string]*Window // by service
}

// NewWindows returns Windows that use reserveShare of the limits, which apply to all routers
// together for each service.
func NewWindows(limits WindowLimits) *Windows {
	limits.Ratio *= reserveShare
	limits.Reserve *= reserveShare
	return &Windows{limits: limits, windows: make(map[string]*Window)}
}

// ForService returns the Window of a service, which is created at now if it doesn't exist.
func (w *Windows) ForService(now time.Time, service string) *Window {
	w.mu.Lock()
	defer w.mu.Unlock()
	window := w.windows[service]
	if window == nil {
		window = NewWindow(now, w.limits)
		w.windows[service] = window
	}
	return window
}
