// Package shutdown decides when a process that was ordered to stop turns unready,
// takes no more connections, refuses requests and ends. It is pure: values in,
// values out.
//
// Rule: from the order on, the process is unready and closes each caller's
// connection after its answer, but serves on. It closes its listener once the load
// balancer has noticed and no new connection has come for quietTime. It closes what is
// still open closeMargin before the end of its grace period, after which it is killed.
//
// It takes a request that ends before that even at its deadline, or is expected to, going
// by its route's slowest; a stream by that estimate only for the first estimateSpan. It
// refuses any other. Requests that are not answered EndMargin before the close are given
// up then, so that their callers are told.
//
// The reasons are in docs/decisions.md, Stop.
package shutdown

import "time"

const (
	// minProbes is how many readiness probes in a row must fail before the balancer
	// sends no new connections.
	minProbes = 2
	// NoticeMargin is how long the balancer may take to act after Noticed.
	NoticeMargin = 400 * time.Millisecond
	// maxNoticeWait bounds the wait for the probes, which come once a second: the
	// balancer may be out of reach.
	maxNoticeWait = 3 * time.Second
	// quietTime is how long no new connection must have come before the listener is
	// closed.
	quietTime = 500 * time.Millisecond
	// closeMargin is how long before the end of its grace period a process closes
	// what is still open.
	closeMargin = 700 * time.Millisecond
	// finishFactor is the multiple of the time of a route's slowest requests that
	// must be left for one more. Set with quietTime.
	finishFactor = 1.5
	// estimateSpan is for how long after the order requests are taken by an estimate.
	// The platform's RULES page accepts that requests sent within 3 s of the order are
	// broken off at the end; the rest is for the way of the signal and of the request.
	estimateSpan = 2500 * time.Millisecond
	// EndMargin is how long before the process closes what is open a request must end,
	// for its last bytes: as long as they may take after its deadline.
	EndMargin = 300 * time.Millisecond
	// CheckInterval is how often a stopping process looks whether it may go on to
	// the next step.
	CheckInterval = 50 * time.Millisecond
)

// CloseBy returns when a process that was ordered to stop closes what is still open.
// grace is the time from the order to when it is killed.
func CloseBy(ordered time.Time, grace time.Duration) time.Time {
	return ordered.Add(grace - closeMargin)
}

// Noticed reports whether the balancer has noticed that the process stops, or is no
// longer waited for. failedProbes are those since the order.
func Noticed(sinceOrder time.Duration, failedProbes int) bool {
	return failedProbes >= minProbes || sinceOrder >= maxNoticeWait
}

// Quiet reports whether no caller has connected for quietTime. lastConnection is when
// the last one did, or zero if none ever has.
func Quiet(now, lastConnection time.Time) bool {
	return lastConnection.IsZero() || now.Sub(lastConnection) > quietTime
}

// A Request is what a stopping process knows of a request that comes to it.
type Request struct {
	SinceOrder time.Duration // since the order to stop
	Left       time.Duration // until the process closes what is open
	Slowest    time.Duration // that requests on its route took, as far as is known
	Longest    time.Duration // until its deadline, when it ends in any case
	Stream     bool          // it is answered with a stream
}

// LeavesTimeFor reports whether a stopping process takes a request.
func LeavesTimeFor(r Request) bool {
	left := r.Left - EndMargin
	if left > 0 && r.Longest <= left {
		return true
	}
	if r.Stream && r.SinceOrder >= estimateSpan {
		return false
	}
	return left > time.Duration(finishFactor*float64(r.Slowest))
}
