// Package freshness decides for how long what a process knows of a source may be
// relied on, and when, and by which process, the source is read again.
//
// It owns a Lease; it relies on a steady clock that goes on while the process or
// the machine is paused, and on the steady clock that the source sends with each
// answer. It does no I/O and reads no time of day.
package freshness

import (
	"sync"
	"sync/atomic"
	"time"
)

// When the configuration may be relied on.
//
// Rule: until the time after which a revoked key must not work, less leaseMargin,
// has passed since a read was sent that confirmed the configuration in force; the
// read may be this router's own or a peer's.
//
// Why: the time counts from before the read was sent since the source may have
// answered at any moment after that. The lease of a process that was cut off, paused or frozen
// ends by itself, whatever the process missed. A feed that delivers nothing renews
// nothing: it may have lost its changes.

// leaseMargin is left between the end of a lease and the time after which a revoked
// key must not work: for the way of a request to the endpoint, after the check.
const leaseMargin = 500 * time.Millisecond

// Term returns how long a confirmed configuration may be relied on. revoke is the time
// from a key's revocation after which no request with it may run (bounds.revoke).
func Term(revoke time.Duration) time.Duration { return revoke - leaseMargin }

// A Lease says until when a state of the source may be relied on that was confirmed by
// a read of this process or of another one. It is safe for concurrent use.
type Lease struct {
	term    time.Duration
	started time.Time
	until   atomic.Int64 // nanoseconds since started

	clock *SourceClock

	mu        sync.Mutex
	confirmed time.Duration // of the source's clock, if known
	known     bool
}

// NewLease returns an expired Lease, made now, of a source with a clock. A term of zero or less never renews
// it.
func NewLease(now time.Time, term time.Duration, clock *SourceClock) *Lease {
	l := &Lease{term: term, started: now, clock: clock}
	l.until.Store(-1)
	return l
}

// RenewRead renews the lease by a read of this process: when it was sent, when its
// answer began to come, and what the source's clock showed in between. How long the rest
// of the answer took says nothing of the clock.
func (l *Lease) RenewRead(sent, begun time.Time, clock time.Duration) {
	l.renew(sent)
	l.clock.Observe(sent, clock)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The state is as new as the moment of sending, when the source's clock
	// showed at least this.
	l.confirmed, l.known = clock-begun.Sub(sent), true
}

// RenewFromPeer renews the lease by a read of another process, at which the
// source's clock showed at least confirmed. It reports whether that was newer than
// what was known. Before anything has bounded the source's clock it does nothing.
func (l *Lease) RenewFromPeer(now time.Time, confirmed time.Duration) bool {
	latest, ok := l.clock.Latest(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	restarted := l.confirmed > latest // the clock has started anew: what it showed before says nothing
	if !ok || confirmed > latest || confirmed <= l.confirmed && !restarted {
		return false
	}
	l.confirmed, l.known = confirmed, true
	l.renew(now.Add(confirmed - latest))
	return true
}

// Confirmed returns what the source's clock showed at the newest confirmation, and
// false if there is none.
func (l *Lease) Confirmed() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed, l.known
}

// renew renews the lease by a confirmed read that was sent at a time. An older read
// than the last one changes nothing.
func (l *Lease) renew(sent time.Time) {
	until := int64(sent.Sub(l.started) + l.term)
	for {
		now := l.until.Load()
		if until <= now || l.until.CompareAndSwap(now, until) {
			return
		}
	}
}

// Valid reports whether the state may be relied on.
func (l *Lease) Valid(now time.Time) bool {
	return int64(now.Sub(l.started)) < l.until.Load()
}

// Age returns how long ago the read was sent that confirmed the state last. It
// reports false if the state was never confirmed.
func (l *Lease) Age(now time.Time) (time.Duration, bool) {
	until := l.until.Load()
	if until < 0 {
		return 0, false
	}
	return now.Sub(l.started) - (time.Duration(until) - l.term), true
}

// Left returns the time until the lease ends; it is negative once it has ended.
func (l *Lease) Left(now time.Time) time.Duration {
	return time.Duration(l.until.Load()) - now.Sub(l.started)
}
