package soak

import (
	"math/rand/v2"
	"time"
)

// restoreFaults are restores of the store from a copy. They strike beside the others, from a generator of
// their own, so that the kept seeds draw the same others as before them.
var restoreFaults = []fault{
	{"restore", "the store is away for up to 1 s and back from a copy of up to 5 s before, its clock goes on or starts anew; operators and servers write again within 1 s", noRequest, noRequest, (*injector).restore},
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
	// drainTime is bounds.drain of the gateways, within which nothing is sent any more to a server that
	// drains.
	drainTime = 2 * time.Second
)

// restore makes the store come back from a copy. Restores come one after the other. Each records itself
// what it disturbs, for checkWithheld.
func (in *injector) restore(random *rand.Rand, _ int) {
	in.restoring.Lock()
	defer in.restoring.Unlock()
	one := restored{copied: time.Now()}
	in.post(`{"keep_copy":true}`)
	pause(random, maxCopyAge)
	one.away = time.Now()
	in.post(`{"store":{"reset":true}}`)
	pause(random, maxAway)
	in.post(`{"restore":true}`)
	one.back = time.Now()
	if random.IntN(2) == 0 {
		in.storeClockStep(random, 0)
	}
	in.post(storeWorks)
	pause(random, maxAgain)
	in.post(`{"write_again":true}`)
	in.mu.Lock()
	defer in.mu.Unlock()
	one.until = time.Now()
	in.restores = append(in.restores, one)
	in.outages = append(in.outages, one.outage())
}

// A restored is a restore of the store: when the copy was made, from when the store was away, when it was
// back, and when what was lost had been written again.
type restored struct {
	copied, away, back, until time.Time
}

// outage returns the time in which the store is disrupted.
func (r *restored) outage() cut { return cut{gateway: allGateways, from: r.away, until: r.until} }

// checkWithheld checks that a restore of the store excuses nobody who sends to a server that had drained
// or left the list before it: what a gateway has read binds it.
func checkWithheld(c *call, seen *evidence) string {
	if !seen.inTouchBesideRestores(c) {
		return ""
	}
	return seen.answeredLate(c)
}

// inTouchBesideRestores reports whether a call's gateway was in touch, as if restores were no outages.
func (e *evidence) inTouchBesideRestores(c *call) bool {
	var outages []cut
	for i := range e.restores {
		outages = append(outages, e.restores[i].outage())
	}
	return e.inTouchBeside(c, outages)
}

// keptSince returns since when the store has kept what it accepted at a time: what a restore has lost, and
// all gateways need not have read within a bound before the store was away, counts from when it was
// written again.
func (e *evidence) keptSince(at time.Time, bound time.Duration) time.Time {
	for _, r := range e.restores {
		if at.After(r.copied) && at.Before(r.back) && r.away.Sub(at) < bound {
			at = r.until
		}
	}
	return at
}
