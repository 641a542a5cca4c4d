package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/settings"
)

// A startup is the startup phase of a process, in which it may receive the configuration and the list
// of endpoints from peers instead of reading the store.
type startup struct {
	began    time.Time
	hasPeers bool          // the router exchanges gossip
	delay    time.Duration // until the store is read if no peer has sent the data
}

// newStartup returns a startup that begins now.
func newStartup(s *settings.Gateway) *startup {
	result := &startup{began: clock.Now(), hasPeers: s.Peers.IsValid()}
	if len(seedAddresses(s)) > 0 {
		result.delay = replica.StartDelay(s.Routing.StartSpread, rand.Float64())
	}
	return result
}

// untilStoreRead returns how much longer to wait for peers before the store is read.
func (s *startup) untilStoreRead(now time.Time) time.Duration { return s.delay - now.Sub(s.began) }

// joining reports whether the router may not have received messages from all other routers yet, and so
// can't compute its rank among them.
func (s *startup) joining(now time.Time) bool {
	return s.hasPeers && now.Sub(s.began) < replica.JoinDuration
}
