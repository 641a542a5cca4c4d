// Package freshness decides how long a cached state of a source may be relied on, and when,
// and by which process, the source is read again.
//
// It owns a Lease. It relies on a monotonic clock that keeps running while the process or the
// machine is suspended, and on the source's monotonic clock, which the source sends with each
// response. It does no I/O and does not read the time of day.
package freshness

import (
	"sync"
	"sync/atomic"
	"time"
)

// How long the configuration may be relied on.
//
// Rule: a read that confirms the configuration in force, by this router or by a peer, allows its
// use until the revocation bound less leaseMargin has passed since the read was sent.
//
// Why: the lease counts from the sending of the read because the source may have answered at any
// time after that. The lease of a process that was partitioned or suspended expires without any
// event. A change feed that delivers nothing renews nothing, because it may have lost changes.

// leaseMargin is the time between the end of a lease and the revocation bound. It covers the
// request path from the key check to the endpoint.
const leaseMargin = 500 * time.Millisecond

// Term returns how long a confirmed configuration may be relied on. revoke is the time after
// which no request with a revoked key may run (bounds.revoke).
func Term(revoke time.Duration) time.Duration { return revoke - leaseMargin }

// A Lease limits how long a state of the source may be relied on after a read by this or
// another process confirmed it. It is safe for concurrent use.
type Lease struct {
	term    time.Duration
	started time.Time
	until   atomic.Int64 // nanoseconds since started

	clock *SourceClock

	mu        sync.Mutex
	confirmed time.Duration // on the source's clock; valid if known
	known     bool
}

// NewLease returns an expired Lease, created at now, for a source with the given clock. With a
// term of zero or less it can't be renewed.
func NewLease(now time.Time, term time.Duration, clock *SourceClock) *Lease {
	l := &Lease{term: term, started: now, clock: clock}
	l.until.Store(-1)
	return l
}

// RenewRead renews the lease after a read by this process. sent is when the read was sent,
// responseStarted is when the first byte of the response arrived, and clock is the reading of the
// source's clock between the two. The duration of the rest of the response is irrelevant.
func (l *Lease) RenewRead(sent, responseStarted time.Time, clock time.Duration) {
	l.renew(sent)
	l.clock.Observe(sent, clock)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The state is at least as new as the time of sending, when the source's clock read at least
	// this.
	l.confirmed, l.known = clock-responseStarted.Sub(sent), true
}

// RenewFromPeer renews the lease after a read by another process, at which the source's clock
// read at least confirmed. It reports whether the confirmation was newer than the last one. It
// does nothing while there is no bound on the source's clock.
func (l *Lease) RenewFromPeer(now time.Time, confirmed time.Duration) bool {
	upperBound, ok := l.clock.UpperBound(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	restarted := l.confirmed > upperBound // the source's clock was reset: earlier readings are not comparable
	if !ok || confirmed > upperBound || confirmed <= l.confirmed && !restarted {
		return false
	}
	l.confirmed, l.known = confirmed, true
	l.renew(now.Add(confirmed - upperBound))
	return true
}

// Confirmed returns the reading of the source's clock at the newest confirmation, and false if
// there is none.
func (l *Lease) Confirmed() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed, l.known
}

// renew extends the lease after a confirming read that was sent at sent. A read older than the
// last one has no effect.
func (l *Lease) renew(sent time.Time) {
	until := int64(sent.Sub(l.started) + l.term)
	for {
		current := l.until.Load()
		if until <= current || l.until.CompareAndSwap(current, until) {
			return
		}
	}
}

// Valid reports whether the state may be relied on.
func (l *Lease) Valid(now time.Time) bool {
	return int64(now.Sub(l.started)) < l.until.Load()
}

// Age returns the time since the last confirming read was sent, and false if the state was
// never confirmed.
func (l *Lease) Age(now time.Time) (time.Duration, bool) {
	until := l.until.Load()
	if until < 0 {
		return 0, false
	}
	return now.Sub(l.started) - (time.Duration(until) - l.term), true
}

// Remaining returns the time until the lease ends. It is negative after the lease has ended.
func (l *Lease) Remaining(now time.Time) time.Duration {
	return time.Duration(l.until.Load()) - now.Sub(l.started)
}
