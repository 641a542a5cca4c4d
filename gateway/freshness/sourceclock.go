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
	// the elapsed time that is added for safety.
	clockDrift = 1e-4
	// clockMemory is how long one answer may bound the source's clock. Two clocks whose
	// speeds differ by one in a thousand, twice what a machine's clock is corrected by,
	// drift apart by 54 ms in that time beyond clockDrift: less than an eighth of
	// leaseMargin. Without it they did by up to clockRestart (TestFastClock).
	clockMemory = time.Minute
	// clockRestart is how much later than expected a source's clock must read to
	// be taken for one that has started anew.
	clockRestart = 10 * time.Second
)

// A SourceClock bounds what a source's steady clock shows. It is safe for concurrent use.
type SourceClock struct {
	mu    sync.Mutex
	shown time.Duration
	at    time.Time // no later than when the clock showed shown
	known bool
}

// Observe takes what the clock showed, or the most that it may have shown, in the answer to a
// read that was sent at a time, to the source or to another process that bounds its clock.
func (c *SourceClock) Observe(sent time.Time, shown time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound, ok := c.latest(sent)
	recent := ok && sent.Sub(c.at) < clockMemory
	if recent && shown >= bound && shown-bound < clockRestart {
		return // the answer was slow: what is known bounds the clock better
	}
	c.shown, c.at, c.known = shown, sent, true
}

// Latest returns the most that the clock may show now, and false if nothing is
// known of it.
func (c *SourceClock) Latest(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest(now)
}

func (c *SourceClock) latest(now time.Time) (time.Duration, bool) {
	elapsed := now.Sub(c.at)
	return c.shown + elapsed + time.Duration(clockDrift*float64(elapsed)), c.known
}
