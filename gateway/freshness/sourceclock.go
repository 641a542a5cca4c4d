package freshness

import (
	"sync"
	"time"
)

// How the age of a peer's confirmation is determined.
//
// Rule: the age is the difference between the reading of the source's monotonic clock when the
// source was read and the upper bound on its reading now.
//
// Why: a message may be delayed without limit and pass through any number of routers, and the
// clocks of routers differ. The source sends its monotonic clock with each response. From its
// local reads each router derives an upper bound on that clock, so it never underestimates the
// age of a confirmation.

const (
	// clockDrift is the relative drift between two monotonic clocks that the bound allows for.
	clockDrift = 1e-4
	// observationTTL is how long one response may bound the source's clock. It limits the error
	// if the clocks drift apart faster than clockDrift (TestFastClock): at a difference of one in a
	// thousand it is 54 ms, less than an eighth of leaseMargin.
	observationTTL = time.Minute
	// clockResetThreshold is how far ahead of its bound a reading of the source's clock must be
	// to count as a reset of that clock.
	clockResetThreshold = 10 * time.Second
)

// A SourceClock is an upper bound on a source's monotonic clock. It is safe for concurrent use.
type SourceClock struct {
	mu      sync.Mutex
	reading time.Duration
	at      time.Time // no later than when the clock had this reading
	known   bool
}

// Observe records the reading of the clock, or an upper bound on it, in the response to a read
// that was sent at sent to the source or to another process that bounds its clock.
func (c *SourceClock) Observe(sent time.Time, reading time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound, ok := c.upperBound(sent)
	valid := ok && sent.Sub(c.at) < observationTTL
	if valid && reading >= bound && reading-bound < clockResetThreshold {
		return // the response was slow: the earlier observation is the tighter bound
	}
	c.reading, c.at, c.known = reading, sent, true
}

// UpperBound returns the upper bound on the clock's reading at now, and false if nothing has
// been observed.
func (c *SourceClock) UpperBound(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upperBound(now)
}

func (c *SourceClock) upperBound(now time.Time) (time.Duration, bool) {
	elapsed := now.Sub(c.at)
	return c.reading + elapsed + time.Duration(clockDrift*float64(elapsed)), c.known
}
