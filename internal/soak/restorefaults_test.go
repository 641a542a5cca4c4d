package soak

import (
	"math/rand/v2"
	"time"
)

// restoreFaults are restores of the store from a copy. They strike beside the others, from a generator of
// their own, so that the kept seeds draw the same others as before them.
var restoreFaults = []fault{
	{"restore", "the store is away for up to 1 s and back from a copy of up to 5 s before, its clock goes on or starts anew; operators and servers write again within 1 s", affectsNone, affectsNone, (*injector).restore},
}

const (
	// restoreStream is the stream of a seed's random numbers from which restoreFaults are drawn.
	restoreStream = 1 << 18
	// maxBetweenRestores is the longest time between the beginnings of two restoreFaults.
	maxBetweenRestores = 6 * time.Second
	// maxCopyAge is how much older than the outage the copy is at the most, and maxAway and maxAgain how
	// long the store is away and how long it takes until what was lost is written again.
	maxCopyAge = 5 * time.Second
	maxAway    = time.Second
	maxAgain   = time.Second
	// drainBound is bounds.drain of the gateways, within which nothing is sent any more to a server that
	// drains.
	drainBound = 2 * time.Second
)

// restore makes the store come back from a copy. Restores come one after the other. Each records itself
// what it disturbs, for checkWithheld.
func (in *injector) restore(random *rand.Rand, _ int) {
	in.restoring.Lock()
	defer in.restoring.Unlock()
	r := storeRestore{backupAt: time.Now()}
	in.post(`{"keep_copy":true}`)
	pause(random, maxCopyAge)
	r.downAt = time.Now()
	in.post(`{"store":{"reset":true}}`)
	pause(random, maxAway)
	in.post(`{"restore":true}`)
	r.upAt = time.Now()
	if random.IntN(2) == 0 {
		in.storeClockStep(random, 0)
	}
	in.post(storeWorks)
	pause(random, maxAgain)
	in.post(`{"write_again":true}`)
	in.mu.Lock()
	defer in.mu.Unlock()
	r.rewrittenAt = time.Now()
	in.restores = append(in.restores, r)
	in.outages = append(in.outages, r.outage())
}

// A restored is a restore of the store: when the copy was made, from when the store was away, when it was
// back, and when what was lost had been written again.
type storeRestore struct {
	backupAt, downAt, upAt, rewrittenAt time.Time
}

// outage returns the time in which the store is disrupted.
func (r *storeRestore) outage() faultWindow {
	return faultWindow{gateway: allGateways, from: r.downAt, until: r.rewrittenAt}
}

// checkWithheld checks that a restore of the store excuses nobody who sends to a server that had drained
// or left the list before it: what a gateway has read binds it.
func checkWithheld(c *call, record *runRecord) string {
	if !record.inTouchIgnoringRestores(c) {
		return ""
	}
	return record.answeredByUnavailable(c)
}

// inTouchIgnoringRestores reports whether a call's gateway was in touch, as if restores were no outages.
func (r *runRecord) inTouchIgnoringRestores(c *call) bool {
	var outages []faultWindow
	for i := range r.restores {
		outages = append(outages, r.restores[i].outage())
	}
	return r.inTouchIgnoring(c, outages)
}

// durableSince returns since when the store has kept what it accepted at a time: what a restore has lost, and
// all gateways need not have read within a bound before the store was away, counts from when it was
// written again.
func (r *runRecord) durableSince(at time.Time, bound time.Duration) time.Time {
	for _, restore := range r.restores {
		if at.After(restore.backupAt) && at.Before(restore.upAt) && restore.downAt.Sub(at) < bound {
			at = restore.rewrittenAt
		}
	}
	return at
}
