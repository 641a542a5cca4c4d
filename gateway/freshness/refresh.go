package freshness

import (
	"math"
	"time"
)

// When the configuration is read again, and by which router.
//
// Rule: a router reads the configuration when the newest confirmation has reached the refresh
// age. Routers that see each other as alive are ranked anew in each time slot. The first reads at
// half that age and the second at three quarters, and both report the confirmation to the others.
// Without such a report the others read at the refresh age, and up to staggerFraction of it later,
// staggered by rank. If a report of the first router takes longer to reach all, they read later, but not
// after the latest age. A router that is notified of a newer version by a peer reads immediately.
//
// Why: one read serves the whole fleet, and calls of the source are expensive. The rank is
// derived from the source's clock, so routers agree on it without coordination and the load
// rotates. The second router covers a failure of the first; if both fail, the others read by
// themselves. The slot is that of the current time, and a router checks its rank when a slot begins:
// one that slept until its read as one of the others would let the age of the confirmation pass the
// refresh age, upon which many read.

const (
	// timeSlotDuration is how long one router is the first to read, on the source's
	// monotonic clock.
	timeSlotDuration = 4 * time.Second
	// firstFraction and secondFraction are the fractions of the refresh age at which the first
	// and the second router of a time slot read.
	firstFraction  = 0.5
	secondFraction = 0.75
	// staggerFraction is the fraction of the refresh age over which the other routers' reads are
	// staggered, so that most receive the first router's confirmation before they read.
	staggerFraction = 0.6
	// messagesPerSecond is the minimum number of messages that a router sends to peers per second. It
	// determines how long a report takes to reach all.
	messagesPerSecond = 14
	// minReadPause is the minimum time between two reads of a router.
	minReadPause = 60 * time.Millisecond
	// slowReadPause is the pause after a failed read, or after a read that found no
	// configuration. It may take seconds until operators have set one.
	slowReadPause = 400 * time.Millisecond
)

// TimeSlot returns the number of the time slot at a reading of the source's clock.
func TimeSlot(reading time.Duration) uint64 { return uint64(reading / timeSlotDuration) }

// UntilNextSlot returns the time from a reading of the source's clock to the next time slot.
func UntilNextSlot(reading time.Duration) time.Duration {
	return timeSlotDuration - reading%timeSlotDuration
}

// ReadAge returns the age of a confirmation at which a router reads the configuration again.
// refresh is the age without peers, and latest the maximum age if that is possible without reading before
// the refresh age. rank is the router's rank in the time slot, from 0, and peers is the number of other
// live routers.
func ReadAge(refresh, latest time.Duration, rank, peers int) time.Duration {
	switch {
	case peers == 0:
		return refresh
	case rank == 0:
		return time.Duration(firstFraction * float64(refresh))
	case rank == 1:
		return time.Duration(secondFraction * float64(refresh))
	}
	stagger := time.Duration(staggerFraction * float64(refresh))
	reported := time.Duration(firstFraction*float64(refresh)) + reportTime(peers)
	return max(refresh, min(reported, latest-stagger)) + stagger*time.Duration(rank-1)/time.Duration(peers)
}

// reportTime returns how long a report takes to reach all peers. The number of routers that have it grows
// exponentially until half have it, and the number of those that lack it falls as fast from then on.
func reportTime(peers int) time.Duration {
	return time.Duration(2 * math.Log(float64(peers+1)) / messagesPerSecond * float64(time.Second))
}

// PauseAfterRead returns the minimum time until a router's next read. answered reports whether
// the last read succeeded, and configured whether a configuration is in force.
func PauseAfterRead(answered, configured bool) time.Duration {
	if !answered || !configured {
		return slowReadPause
	}
	return minReadPause
}
