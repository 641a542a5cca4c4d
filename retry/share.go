package retry

import (
	"sync"
	"time"
)

const (
	// reserveShare is the part of the fleet's bound that is used. The rest covers
	// that routers count over slightly different spans. Without unit. Not measured.
	reserveShare = 0.9
	// unseenRouters is how many live routers there are for each one that is assumed
	// beside them, because it has just started and is not yet known. Not measured.
	unseenRouters = 4
)

// Sharers returns among how many routers the Reserve of a Window is divided, so
// that all of them together keep it without agreeing on each retry: the live ones
// and a quarter more, but at least the configured number, since a router that has
// lost touch with its peers must not take the whole reserve (commit 94211f1).
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

// Of returns the Window of a service.
func (w *Windows) Of(service string) *Window {
	w.mu.Lock()
	defer w.mu.Unlock()
	window := w.windows[service]
	if window == nil {
		window = NewWindow(time.Now(), w.limits)
		w.windows[service] = window
	}
	return window
}
