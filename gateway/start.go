package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/settings"
)

// A start is the first moments of a process, in which peers may tell it what else it would read
// from the store.
type start struct {
	began    time.Time
	hasPeers bool          // it exchanges gossip
	delay    time.Duration // until it reads the store if no peer has told it
}

// newStart returns a start that is now.
func newStart(s *settings.Gateway) *start {
	result := &start{began: clock.Now(), hasPeers: s.Peers.IsValid()}
	if len(seedAddresses(s)) > 0 {
		result.delay = replica.StartDelay(s.Routing.StartSpread, rand.Float64())
	}
	return result
}

// untilStoreRead returns how long peers are still to tell what is not known.
func (s *start) untilStoreRead(now time.Time) time.Duration { return s.delay - now.Sub(s.began) }

// joining reports whether the router may not have heard of the fleet yet, and so can't tell its
// place in it.
func (s *start) joining(now time.Time) bool {
	return s.hasPeers && now.Sub(s.began) < replica.JoinTime
}
