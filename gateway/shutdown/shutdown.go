// Package shutdown decides when a process that is shutting down becomes unready, closes its
// listener, refuses requests and exits. It is pure: it has no state, clock or I/O.
//
// Rule: from the shutdown signal on, the process is unready and closes each caller's connection
// after its response, but continues to serve. It closes its listener once the load balancer has
// noticed and no new connection has arrived for quietPeriod. It closes all open connections
// closeMargin before the end of its grace period, after which it is killed.
//
// It accepts a request that ends before that at its deadline, or is expected to end, based on
// the slowest requests of its route. For streams the estimate is used only within estimateWindow of the
// shutdown signal. All other requests are refused. Requests that are not answered EndMargin before
// the connections close are aborted then, so that their callers receive an error.
//
// Why: see docs/decisions.md, Stop.
package shutdown

import "time"

const (
	// minFailedProbes is how many consecutive readiness probes must fail before the load balancer
	// sends no new connections.
	minFailedProbes = 2
	// NoticeMargin is how long the load balancer may take to act after BalancerNoticed.
	NoticeMargin = 400 * time.Millisecond
	// maxNoticeWait limits the wait for the probes, which arrive once a second, in case the load
	// balancer can't reach the process.
	maxNoticeWait = 3 * time.Second
	// quietPeriod is how long no new connection must have arrived before the listener is closed.
	quietPeriod = 500 * time.Millisecond
	// closeMargin is how long before the end of its grace period a process closes all open
	// connections.
	closeMargin = 700 * time.Millisecond
	// finishFactor is the time that must be left for a request, as a multiple of the duration of
	// its route's slowest requests.
	finishFactor = 1.5
	// estimateWindow is how long after the shutdown signal estimates are used for streams. The
	// platform accepts that requests sent within 3 s of the signal are aborted at the end. The
	// difference covers the delay of the signal and of the request.
	estimateWindow = 2500 * time.Millisecond
	// EndMargin is how long before the connections close a request must end. It covers the
	// time that the last bytes may take after the request's deadline.
	EndMargin = 300 * time.Millisecond
	// CheckInterval is how often a process that is shutting down checks for the next step.
	CheckInterval = 50 * time.Millisecond
)

// CloseBy returns when a process that is shutting down closes all open connections. grace is the time
// from the shutdown signal until the process is killed.
func CloseBy(signaled time.Time, grace time.Duration) time.Time {
	return signaled.Add(grace - closeMargin)
}

// BalancerNoticed reports whether the load balancer has noticed the shutdown, or the wait for it has
// timed out. failedProbes is the number of failed probes since the shutdown signal.
func BalancerNoticed(sinceSignal time.Duration, failedProbes int) bool {
	return failedProbes >= minFailedProbes || sinceSignal >= maxNoticeWait
}

// NoNewConnections reports whether no caller has connected for quietPeriod. lastConnection is the time
// of the last new connection, or zero if there was none.
func NoNewConnections(now, lastConnection time.Time) bool {
	return lastConnection.IsZero() || now.Sub(lastConnection) > quietPeriod
}

// A Request describes a request that arrives at a process that is shutting down.
type Request struct {
	SinceSignal   time.Duration // time since the shutdown signal
	UntilClose    time.Duration // time until the process closes all connections
	Slowest       time.Duration // longest known duration of requests on its route
	UntilDeadline time.Duration // time until its deadline, at which it ends in any case
	Stream        bool          // whether the response is a stream
}

// HasTimeFor reports whether a process that is shutting down accepts a request.
func HasTimeFor(r Request) bool {
	remaining := r.UntilClose - EndMargin
	if remaining > 0 && r.UntilDeadline <= remaining {
		return true
	}
	if r.Stream && r.SinceSignal >= estimateWindow {
		return false
	}
	return remaining > time.Duration(finishFactor*float64(r.Slowest))
}
