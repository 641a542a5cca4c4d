package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/settings"
)

// maxStartWait is the maximum time after which a starting router checks again whether it must read the
// store.
const maxStartWait = 10 * time.Millisecond

// A startup is the startup phase of a process, in which it may receive the configuration and the list
// of endpoints from peers instead of reading the store. It is safe for concurrent use.
type startup struct {
	began    time.Time
	hasPeers bool    // the router exchanges gossip
	seeded   bool    // addresses of peers were configured
	drawn    float64 // random number from 0 to 1
	// delay is the time until the store is read if no seed has sent the data.
	delay time.Duration

	mu         sync.Mutex
	requested  bool      // a request waits for the data
	lookedUpAt time.Time // when the router looked up its peers; zero if it has not
	found      int       // number of peers that the look-up has found
}

// newStartup returns a startup that begins now.
func newStartup(s *settings.Gateway) *startup {
	result := &startup{began: clock.Now(), hasPeers: s.Peers.IsValid(), seeded: len(seedAddresses(s)) > 0, drawn: rand.Float64()}
	if result.seeded {
		result.delay = replica.StartDelay(s.Routing.StartSpread, result.drawn)
	}
	return result
}

// setRequested records that a request waits for the data.
func (s *startup) setRequested() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requested = true
}

// recordLookup records that the router has looked up its peers, and how many it has found.
func (s *startup) recordLookup(now time.Time, found int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lookedUpAt.IsZero() {
		s.lookedUpAt = now
	}
	s.found = found
}

// untilStoreRead returns how much longer to wait for peers before the store is read, at most
// maxStartWait unless the peers are seeds. alive is the number of live peers.
func (s *startup) untilStoreRead(now time.Time, alive int) time.Duration {
	if s.seeded {
		return s.delay - now.Sub(s.began)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	start := replica.Start{
		Running: now.Sub(s.began), HasPeers: s.hasPeers, Requested: s.requested,
		LookedUp: !s.lookedUpAt.IsZero(), SinceLookup: now.Sub(s.lookedUpAt), Peers: max(s.found, alive), Drawn: s.drawn,
	}
	return min(maxStartWait, start.UntilRead())
}

// joining reports whether the router may not have received messages from all other routers yet, and so
// can't compute its rank among them.
func (s *startup) joining(now time.Time) bool {
	return s.hasPeers && now.Sub(s.began) < replica.JoinDuration
}
