package freshness

import (
	"sync"
	"time"
)

// How old a peer's confirmation is.
//
// Rule: it is as old as the difference between what the source's steady clock
// showed when the source was read and the most that it may show now.
//
// Why: a message may take any time and pass through any number of routers, and
// clocks of routers differ. The source sends its steady clock with each answer, so
// that each router can bound by its own reads what that clock shows now, and never
// takes a confirmation for younger than it is.

const (
	// clockDrift is by how much two steady clocks may differ in speed: the part of
	// the elapsed time that is added for safety. Not measured.
	clockDrift = 1e-4
	// clockRestart is how much later than expected a source's clock must read to
	// be taken for one that has started anew. Not measured.
	clockRestart = 10 * time.Second
)

// A SharedLease is a Lease that several processes renew for each other: a read of
// one of them counts for all. It is safe for concurrent use.
type SharedLease struct {
	*Lease

	mu        sync.Mutex
	clock     sourceClock
	confirmed time.Duration // of the source's clock
	known     bool          // confirmed is set
}

// NewSharedLease returns an expired SharedLease.
func NewSharedLease(term time.Duration) *SharedLease {
	return &SharedLease{Lease: NewLease(term)}
}

// RenewRead renews the lease by a read of this process: when it was sent and
// answered, and what the source's clock showed in between.
func (l *SharedLease) RenewRead(sent, answered time.Time, clock time.Duration) {
	l.Renew(sent)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock.observe(sent, clock)
	// The state is as new as the moment of sending, when the source's clock
	// showed at least this.
	l.confirm(clock - answered.Sub(sent))
}

// RenewFromPeer renews the lease by a read of another process, at which the
// source's clock showed at least confirmed. It reports whether that was newer than
// what was known. Before the first read of this process it does nothing: without
// one it can't bound the source's clock.
func (l *SharedLease) RenewFromPeer(now time.Time, confirmed time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest, ok := l.clock.latest(now)
	if !ok || confirmed > latest || (l.known && confirmed <= l.confirmed) {
		return false
	}
	l.confirm(confirmed)
	l.Renew(now.Add(confirmed - latest))
	return true
}

// confirm keeps the newest confirmation.
func (l *SharedLease) confirm(confirmed time.Duration) {
	l.confirmed, l.known = confirmed, true
}

// Confirmed returns what the source's clock showed at the newest confirmation, and
// false if there is none.
func (l *SharedLease) Confirmed() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed, l.known
}

// A sourceClock bounds what a source's steady clock shows.
type sourceClock struct {
	shown time.Duration
	at    time.Time // no later than when the clock showed shown
	known bool
}

// observe takes what the clock showed in the answer to a read that was sent at a
// time.
func (c *sourceClock) observe(sent time.Time, shown time.Duration) {
	bound, ok := c.latest(sent)
	if ok && shown >= bound && shown-bound < clockRestart {
		return // the answer was slow: what is known bounds the clock better
	}
	c.shown, c.at, c.known = shown, sent, true
}

// latest returns the most that the clock may show now, and false if nothing is
// known of it.
func (c *sourceClock) latest(now time.Time) (time.Duration, bool) {
	elapsed := now.Sub(c.at)
	return c.shown + elapsed + time.Duration(clockDrift*float64(elapsed)), c.known
}
