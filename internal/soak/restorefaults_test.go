package soak

import (
	"math/rand/v2"
	"time"
)

// restoreFaults are restores of the store from a backup. They have a random generator of
// their own, so that other faults of a seed are drawn independently of them.
var restoreFaults = []fault{
	{"restore", "the store is down for up to 1 s and restored from a backup up to 5 s old, its clock continues or is reset; operators and servers repeat lost writes within 1 s", affectsNone, affectsNone, (*injector).restore},
}

const (
	// restoreStream is the stream of a seed's random numbers for restoreFaults.
	restoreStream = 1 << 18
	// maxBetweenRestores is the longest time between the starts of two restoreFaults.
	maxBetweenRestores = 6 * time.Second
	// maxBackupAge bounds the age of the backup when the store goes down, maxDowntime the
	// downtime, and maxRewriteDelay the time until lost writes are repeated.
	maxBackupAge    = 5 * time.Second
	maxDowntime     = time.Second
	maxRewriteDelay = time.Second
	// drainBound is bounds.drain of the gateways: the time within which they stop sending
	// requests to a server that drains.
	drainBound = 2 * time.Second
)

// restore restores the store from a backup. Restores do not overlap. Each records its
// outage itself, because checkWithheld needs to identify it.
func (in *injector) restore(random *rand.Rand, _ int) {
	in.restoring.Lock()
	defer in.restoring.Unlock()
	r := storeRestore{backupAt: time.Now()}
	in.post(`{"keep_copy":true}`)
	pause(random, maxBackupAge)
	r.downAt = time.Now()
	in.post(`{"store":{"reset":true}}`)
	pause(random, maxDowntime)
	in.post(`{"restore":true}`)
	r.upAt = time.Now()
	if random.IntN(2) == 0 {
		in.storeClockStep(random, 0)
	}
	in.post(storeHealthy)
	pause(random, maxRewriteDelay)
	in.post(`{"write_again":true}`)
	in.mu.Lock()
	defer in.mu.Unlock()
	r.rewrittenAt = time.Now()
	in.restores = append(in.restores, r)
	in.outages = append(in.outages, r.outage())
}

// A storeRestore is a restore of the store: when the backup was made, when the store went
// down and came up again, and when the lost writes had been repeated.
type storeRestore struct {
	backupAt, downAt, upAt, rewrittenAt time.Time
}

// outage returns the time in which the store was disrupted.
func (r *storeRestore) outage() faultWindow {
	return faultWindow{gateway: allGateways, from: r.downAt, until: r.rewrittenAt}
}

// checkWithheld checks that a restore of the store does not make gateways use a server that
// was draining or gone before it: what a gateway has read remains in force.
func checkWithheld(c *call, record *runRecord) string {
	if !record.inTouchIgnoringRestores(c) {
		return ""
	}
	return record.answeredByUnavailable(c)
}

// inTouchIgnoringRestores reports whether a call's gateway was in touch, not counting
// restores as outages.
func (r *runRecord) inTouchIgnoringRestores(c *call) bool {
	var outages []faultWindow
	for i := range r.restores {
		outages = append(outages, r.restores[i].outage())
	}
	return r.inTouchIgnoring(c, outages)
}

// durableSince returns the time from which a change that was accepted at a given time is
// durable. If a restore lost it, and gateways had less than bound to read it before, that
// is when it was written again.
func (r *runRecord) durableSince(at time.Time, bound time.Duration) time.Time {
	for _, restore := range r.restores {
		if at.After(restore.backupAt) && at.Before(restore.upAt) && restore.downAt.Sub(at) < bound {
			at = restore.rewrittenAt
		}
	}
	return at
}
