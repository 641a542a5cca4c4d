package replica

import (
	"math"
	"time"
)

// When a router without a copy reads the source.
//
// Rule: it reads after a random delay, unless a peer has sent it the list by then. Few routers draw a
// short delay and many a long one. For JoinDuration after its start a router ranks itself behind the
// first routers of the time slot, because it may not have received messages from all others.
//
// Why: when a whole fleet starts, no router has the list or knows the size of the fleet. The few
// with the shortest delays read and send the list to the others before their delays have elapsed.
// Peers that are already running reply before any delay elapses.

const (
	// startSteepness is the exponent of the delay distribution: the density of the delays grows
	// by a factor of e to the startSteepness from the shortest to the longest.
	startSteepness = 6.0
	// JoinDuration is how long after its start a router may not have received messages from all
	// others.
	JoinDuration = time.Second
)

// StartDelay returns the start delay, up to spread, for a random number drawn from 0 to 1.
func StartDelay(spread time.Duration, drawn float64) time.Duration {
	return time.Duration(float64(spread) * math.Log1p(drawn*math.Expm1(startSteepness)) / startSteepness)
}
