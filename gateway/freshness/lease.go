// Package freshness tells for how long what a process knows may be relied on. It
// does no I/O and reads no time of day: all times are of the steady clock.
package freshness

import (
	"sync/atomic"
	"time"
)

// A Lease says until when a confirmed state may be relied on. A read of the
// state renews it, counted from before the read was sent, so that a process that
// was cut off, paused or frozen stops by itself.
type Lease struct {
	term    time.Duration
	started time.Time
	until   atomic.Int64 // nanoseconds since started
}

// NewLease returns an expired Lease. A term of zero or less never renews it.
func NewLease(term time.Duration) *Lease {
	l := &Lease{term: term, started: time.Now()}
	l.until.Store(-1)
	return l
}

// Renew notes a confirmed read that was sent at a time. An older read than the
// last one changes nothing.
func (l *Lease) Renew(sent time.Time) {
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

// Age returns how long ago the state was confirmed, and false where it never was.
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
