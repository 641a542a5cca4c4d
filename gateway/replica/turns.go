package replica

import "time"

// When a router reads the list's source.
//
// Rule: of the routers that are alive for each other, ordered anew in each shift, the first
// always has a read at the source, which holds it until something changes; it tells the
// others what has changed, and until when nothing has. The second reads once it has not
// heard of such a confirmation for part of the slack longer than the source holds a read, and
// the others, one after the other, once the slack is over. After a failure a router reads
// again after a pause that is the longer, the more routers there are.
//
// Why: calls of the source cost more than anything else in a large fleet, and one router's read
// tells it all. What the others know is no older than the bound, whoever fails: each reads by
// itself in time.
//
// A store that answers costs a fleet of 103 routers a call every 2.1 s, and 103 calls in
// 4 s when each router read by itself.

const (
	// maxAgePart is the part of the bound at which a router that has heard nothing reads by itself;
	// the rest is for the read, and staggerPart of the bound for doing so one after the other.
	maxAgePart  = 0.7
	staggerPart = 0.1
	// slackPart, but no more than maxSlack, is the part of the bound between the time for which
	// the source holds a read and that age: for word of it to reach all routers, which takes 0.6 s
	// among 26 and 0.4 s among 103 and 390 (TestFleetList).
	slackPart = 0.35
	maxSlack  = 700 * time.Millisecond
	// secondPart is the part of the slack after which the second router reads.
	secondPart = 0.45
	// minHold is the least time for which the source holds a read.
	minHold = 100 * time.Millisecond
	// pauseForEach is the pause after a failure for each router that is alive: together they make
	// 50 calls a second in an outage.
	pauseForEach = 20 * time.Millisecond
)

// Limits are what Turns depend on and is the same for all routers.
type Limits struct {
	// Bound is the time from a change until it must be known to each router.
	Bound time.Duration
	// Hold is how long the source holds a read that has no change to report.
	Hold time.Duration
}

// NewLimits returns Limits for a bound. hold is how long the source may hold a read, or zero to
// derive it from the bound.
func NewLimits(bound, hold time.Duration) Limits {
	l := Limits{Bound: bound, Hold: hold}
	if hold == 0 {
		l.Hold = max(minHold, l.maxAge()-l.slack())
	}
	return l
}

func (l *Limits) maxAge() time.Duration { return time.Duration(maxAgePart * float64(l.Bound)) }

func (l *Limits) slack() time.Duration {
	return min(maxSlack, time.Duration(slackPart*float64(l.Bound)))
}

// A Turn says when a router reads the source.
type Turn struct {
	// Age is the age of the newest confirmation of its copy at which it does.
	Age time.Duration
	// Hold is how long the source holds the read if nothing has changed.
	Hold time.Duration
}

// Late is the rank from which a router is none of the first.
const Late = 2

// Turn returns the Turn of a router: rank is its place in the shift, from 0, and peers is how
// many other routers are alive.
func (l *Limits) Turn(rank, peers int) Turn {
	switch {
	case rank == 0:
		return Turn{Hold: l.Hold}
	case rank == 1:
		return Turn{Age: l.Hold + time.Duration(secondPart*float64(l.slack()))}
	}
	stagger := staggerPart * float64(l.Bound) * float64(rank) / float64(peers+1)
	return Turn{Age: max(l.Hold+l.slack(), l.maxAge()) + time.Duration(stagger)}
}

// Outage reports whether a copy that was not confirmed for so long lacks confirmations for
// more than a reader's failure.
func (l *Limits) Outage(gap time.Duration) bool { return gap >= l.Hold+l.slack() }

// MaxPause returns the longest pause after a failure, given how many other routers are alive,
// and least, which a router alone makes.
func MaxPause(least time.Duration, peers int) time.Duration {
	return max(least, time.Duration(peers+1)*pauseForEach)
}
