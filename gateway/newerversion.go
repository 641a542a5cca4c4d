package gateway

import (
	"sync"
	"time"
)

// A newerVersion is the newest version of the configuration that a peer is known to have,
// if that is newer than the one in force here. It is safe for concurrent use.
type newerVersion struct {
	mu      sync.Mutex
	inForce int64     // here
	newest  int64     // at a peer
	since   time.Time // when a version newer than the one in force was first known
}

// known reports whether there is one.
func (n *newerVersion) known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newest > n.inForce
}

// knownFor returns for how long there has been one, and false if there is none.
func (n *newerVersion) knownFor(now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.since), n.newest > n.inForce
}

// receive takes the version that a peer has.
func (n *newerVersion) receive(now time.Time, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.newest <= n.inForce {
		n.since = now
	}
	n.newest = max(n.newest, version)
}

// putInForce takes the version that is in force here from now on. One that a peer has and
// that is newer still counts from now: how long it has been known was not kept.
func (n *newerVersion) putInForce(now time.Time, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inForce, n.since = version, now
}
