package replica

import "time"

// When a router reads the source of the list.
//
// Rule: the live routers are ranked anew in each time slot. The first always has a read pending at
// the source, which holds it until something changes, and passes the changes and confirmations on to
// the others. The second reads if it has received no confirmation for the time that the source holds
// a read plus a fraction of the margin. The others read, staggered by rank, when the margin has
// passed. After a failure a router pauses, for longer in a larger fleet.
//
// Why: calls of the source are expensive in a large fleet, and one router's read serves all of it. No
// copy gets older than the bound whichever routers fail, because each router then reads by itself in
// time.

const (
	// maxAgeFraction is the fraction of the bound at which a router without confirmations reads by
	// itself. staggerFraction is the fraction of the bound over which these reads are staggered.
	// The rest of the bound is for the read.
	maxAgeFraction  = 0.7
	staggerFraction = 0.1
	// marginFraction is the fraction of the bound, limited to maxMargin, between the end of a held
	// read and the age at which the other routers read. It is the time for a confirmation to
	// reach all routers, which takes 0.4 to 0.6 s among 26 to 390 of them (TestFleetList).
	marginFraction = 0.35
	maxMargin      = 700 * time.Millisecond
	// secondFraction is the fraction of the margin after which the second router reads.
	secondFraction = 0.45
	// minHold is the minimum time for which the source holds a read.
	minHold = 100 * time.Millisecond
	// pausePerRouter is the maximum pause after a failure per live router. It limits the fleet's
	// rate of calls in an outage to 50 a second.
	pausePerRouter = 20 * time.Millisecond
)

// Limits are the parameters of the schedule. They are the same for all routers.
type Limits struct {
	// Bound is the time within which a change must reach each router.
	Bound time.Duration
	// Hold is how long the source holds a read if nothing changes.
	Hold time.Duration
}

// NewLimits returns the Limits for a bound. hold is how long the source holds a read; zero derives it
// from the bound.
func NewLimits(bound, hold time.Duration) Limits {
	l := Limits{Bound: bound, Hold: hold}
	if hold == 0 {
		l.Hold = max(minHold, l.maxAge()-l.margin())
	}
	return l
}

func (l *Limits) maxAge() time.Duration { return time.Duration(maxAgeFraction * float64(l.Bound)) }

func (l *Limits) margin() time.Duration {
	return min(maxMargin, time.Duration(marginFraction*float64(l.Bound)))
}

// A ReadSchedule is the schedule of a router's next read of the source.
type ReadSchedule struct {
	// Age is the age of the copy's newest confirmation at which the router reads.
	Age time.Duration
	// Hold is how long the source holds the read if nothing changes.
	Hold time.Duration
}

// FirstFallbackRank is the lowest rank of the routers that read only if the first two have failed.
const FirstFallbackRank = 2

// Schedule returns the ReadSchedule of a router. rank is its rank in the time slot, from 0, and peers
// is the number of other live routers.
func (l *Limits) Schedule(rank, peers int) ReadSchedule {
	switch {
	case rank == 0:
		return ReadSchedule{Hold: l.Hold}
	case rank == 1:
		return ReadSchedule{Age: l.Hold + time.Duration(secondFraction*float64(l.margin()))}
	}
	stagger := staggerFraction * float64(l.Bound) * float64(rank) / float64(peers+1)
	return ReadSchedule{Age: max(l.Hold+l.margin(), l.maxAge()) + time.Duration(stagger)}
}

// Outage reports whether a copy whose newest confirmation has the given age lacks confirmations for
// longer than the failure of one reading router explains.
func (l *Limits) Outage(age time.Duration) bool { return age >= l.Hold+l.margin() }

// MaxPause returns the maximum pause after a failure. least is its value for an isolated router, and
// peers is the number of other live routers.
func MaxPause(least time.Duration, peers int) time.Duration {
	return max(least, time.Duration(peers+1)*pausePerRouter)
}
