package freshness

import "time"

// When the configuration is read again, and by which router.
//
// Rule: a router reads the configuration when the newest confirmation has reached the refresh
// age. Routers that see each other as alive are ranked anew in each time slot. The first reads at
// half that age and the second at three quarters, and both report the confirmation to the others.
// Without such a report the others read at the refresh age and up to staggerFraction of it later,
// staggered by rank. A router that is notified of a newer version by a peer reads immediately.
//
// Why: one read serves the whole fleet, and calls of the source are expensive. The rank is
// derived from the source's clock, so routers agree on it without coordination and the load
// rotates. The second router covers a failure of the first; if both fail, the others read by
// themselves.

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
	// minReadPause is the minimum time between two reads of a router.
	minReadPause = 60 * time.Millisecond
	// slowReadPause is the pause after a failed read, or after a read that found no
	// configuration.
	slowReadPause = 400 * time.Millisecond
)

// TimeSlot returns the number of the time slot of a confirmation, given the reading of the
// source's clock at that confirmation.
func TimeSlot(confirmed time.Duration) uint64 { return uint64(confirmed / timeSlotDuration) }

// ReadAge returns the age of a confirmation at which a router reads the configuration again.
// refresh is the age without peers, rank is the router's rank in the time slot, from 0, and peers
// is the number of other live routers.
func ReadAge(refresh time.Duration, rank, peers int) time.Duration {
	switch {
	case peers == 0:
		return refresh
	case rank == 0:
		return time.Duration(firstFraction * float64(refresh))
	case rank == 1:
		return time.Duration(secondFraction * float64(refresh))
	}
	return time.Duration((1 + staggerFraction*float64(rank-1)/float64(peers)) * float64(refresh))
}

// PauseAfterRead returns the minimum time until a router's next read. answered reports whether
// the last read succeeded, and configured whether a configuration is in force.
func PauseAfterRead(answered, configured bool) time.Duration {
	if !answered || !configured {
		return slowReadPause
	}
	return minReadPause
}
