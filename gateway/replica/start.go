package replica

import (
	"math"
	"time"
)

// When a router without a copy reads the source.
//
// Rule: it reads at once if a request waits for the copy, or if it has no peers. Otherwise it looks up
// its peers first, and reads after a random delay unless a peer has sent it the copy by then. Few
// routers draw a short delay and many a long one, and the delays grow with the number of peers. For
// JoinDuration after its start a router ranks itself behind the first routers of the time slot, because
// it may not have received messages from all others.
//
// Why: when a whole fleet starts, no router has a copy, and the source may not have one yet. The few
// with the shortest delays read and send the copy to the others before their delays have elapsed, so
// that the number of calls hardly grows with the fleet. Peers that are already running reply before any
// delay elapses. A router without a copy is not ready, so callers reach it only if too few others are.

const (
	// startSteepness is the exponent of the delay distribution: the density of the delays grows
	// by a factor of e to the startSteepness from the shortest to the longest. Of 103 routers five
	// draw one of the first half.
	startSteepness = 6.0
	// JoinDuration is how long after its start a router may not have received messages from all
	// others.
	JoinDuration = time.Second
	// lookupTimeout is how long after its start a router reads the source if it has not looked up its
	// peers by then.
	lookupTimeout = time.Second
	// peerReplyTime is the time for peers to reply to a router that has looked them up, and to send it
	// the copy.
	peerReplyTime = 150 * time.Millisecond
	// maxStartDelay limits the delay of a router whose peers have no copy or don't reply.
	maxStartDelay = 4 * time.Second
)

// StartDelay returns the start delay, up to spread, for a random number drawn from 0 to 1.
func StartDelay(spread time.Duration, drawn float64) time.Duration {
	return time.Duration(float64(spread) * math.Log1p(drawn*math.Expm1(startSteepness)) / startSteepness)
}

// A Start is the state of a router that has no copy yet and was given no peers.
type Start struct {
	Running     time.Duration // since the start of the process
	HasPeers    bool          // the router exchanges messages with peers
	Requested   bool          // a request waits for the copy
	LookedUp    bool          // the router has looked up its peers
	SinceLookup time.Duration // since it has
	// Peers is the number of peers that are known: looked up or alive.
	Peers int
	// Drawn is a random number from 0 to 1 that stays the same until the router has a copy.
	Drawn float64
}

// UntilRead returns how long the router waits for a peer's copy before it reads the source.
func (s *Start) UntilRead() time.Duration {
	switch {
	case s.Requested || !s.HasPeers:
		return 0
	case !s.LookedUp:
		return lookupTimeout - s.Running
	case s.Peers == 0:
		return 0
	}
	spread := min(maxStartDelay, time.Duration(s.Peers)*pausePerRouter)
	return peerReplyTime + StartDelay(spread, s.Drawn) - s.SinceLookup
}
