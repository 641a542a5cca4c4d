package gateway

import (
	"context"
	"time"

	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
)

// run reads the configuration whenever this router's read is due (freshness.ReadAge), until ctx is
// done.
//
// Each read is a separate call. A feed that delivers nothing may have lost changes, so an idle feed
// confirms nothing.
func (c *configuration) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := c.untilNextRead(clock.Now()); wait > 0 && !c.awaitNewer(ctx, wait) {
			continue // a peer may have renewed the lease meanwhile
		}
		answered := c.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.pause(ctx, answered)
	}
	return nil
}

// pause waits after a read. A long wait ends early if a peer reports a newer configuration.
func (c *configuration) pause(ctx context.Context, answered bool) {
	wait, minPause := freshness.PauseAfterRead(answered, c.current() != nil), freshness.PauseAfterRead(true, true)
	clock.Sleep(ctx, minPause)
	if wait > minPause {
		c.awaitNewer(ctx, replica.MaxPause(wait, c.peers.Alive(clock.Now()))-minPause)
	}
}

// untilNextRead returns the time until this router's next read is due, or until it has to be computed
// again because the next time slot begins.
func (c *configuration) untilNextRead(now time.Time) time.Duration {
	age, known := c.lease.Age(now)
	if !known || c.current() == nil {
		return c.startup.untilStoreRead(now, c.peers.Alive(now))
	}
	reading, bounded := c.clock.UpperBound(now)
	if !bounded {
		reading, _ = c.lease.Confirmed()
	}
	rank, alive := c.peers.Rank(now, freshness.TimeSlot(reading))
	if c.startup.joining(now) {
		rank = max(rank, replica.FirstFallbackRank)
	}
	return min(freshness.ReadAge(c.refresh, c.latest, rank, alive)-age, freshness.UntilNextSlot(reading))
}

// awaitNewer waits for up to maxWait until a peer reports a newer configuration, and reports whether
// there is one. A version that has been read since the report is not newer.
func (c *configuration) awaitNewer(ctx context.Context, maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-c.wake:
		return c.newer.known()
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
