package freshness

import (
	"sync"
	"time"
)

const (
	// clockDrift is by how much two steady clocks may differ in speed: the part of
	// the elapsed time that is added for safety.
	clockDrift = 1e-4
	// clockRestart is how much later than expected a source's clock must read to
	// be taken for one that has started anew.
	clockRestart = 10 * time.Second
)

// A SharedLease is a Lease that several processes renew for each other. A read of
// the source counts for all of them, since its age can be told by the source's
// steady clock, which comes with each answer: a message that tells of a read may
// take any time on its way and pass through any number of processes.
type SharedLease struct {
	*Lease

	mu        sync.Mutex
	clock     sourceClock
	confirmed time.Duration // of the source's clock
	known     bool
}

// NewSharedLease returns an expired SharedLease.
func NewSharedLease(term time.Duration) *SharedLease {
	return &SharedLease{Lease: NewLease(term)}
}

// RenewRead notes a read of this process's own: when it was sent and answered,
// and what the source's clock showed in between.
func (l *SharedLease) RenewRead(sent, answered time.Time, clock time.Duration) {
	l.Renew(sent)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock.observe(sent, clock)
	// The state is as new as the moment of sending, when the source's clock
	// showed at least this.
	l.note(clock - answered.Sub(sent))
}

// RenewTold notes what another process tells: that the state was confirmed when
// the source's clock showed a time. It reports whether that was news.
func (l *SharedLease) RenewTold(now time.Time, confirmed time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest, ok := l.clock.latest(now)
	if !ok || confirmed > latest || (l.known && confirmed <= l.confirmed) {
		return false
	}
	l.note(confirmed)
	l.Renew(now.Add(confirmed - latest))
	return true
}

// note keeps the newest confirmation.
func (l *SharedLease) note(confirmed time.Duration) {
	l.confirmed, l.known = confirmed, true
}

// Confirmed returns the newest confirmation, of the source's clock, and false
// where there is none.
func (l *SharedLease) Confirmed() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed, l.known
}

// A sourceClock bounds what a source's steady clock shows.
type sourceClock struct {
	shown time.Duration
	at    time.Time // shown was not reached before
	known bool
}

// observe notes that a question sent at a time was answered with what the clock
// showed.
func (c *sourceClock) observe(sent time.Time, shown time.Duration) {
	bound, ok := c.latest(sent)
	if ok && shown >= bound && shown-bound < clockRestart {
		return // what is known bounds the clock better
	}
	c.shown, c.at, c.known = shown, sent, true
}

// latest returns the most that the clock may show now.
func (c *sourceClock) latest(now time.Time) (time.Duration, bool) {
	elapsed := now.Sub(c.at)
	return c.shown + elapsed + time.Duration(clockDrift*float64(elapsed)), c.known
}
