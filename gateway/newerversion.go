package gateway

import (
	"slices"
	"sync"
	"time"
)

// A newerVersion is what is known of versions of the configuration that peers have and
// that are newer than the one in force here. It is safe for concurrent use.
type newerVersion struct {
	mu      sync.Mutex
	inForce int64 // here
	// newer holds the versions that are newer, oldest first. There is one for each change
	// that was heard of since this router's last read.
	newer []heardVersion
}

// A heardVersion is a version of the configuration that a peer has.
type heardVersion struct {
	version int64
	at      time.Time // when it was heard of first
}

// known reports whether there is a newer version.
func (n *newerVersion) known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.newer) > 0
}

// knownFor returns for how long a newer version has been known, and false if none is.
func (n *newerVersion) knownFor(now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.newer) == 0 {
		return 0, false
	}
	return now.Sub(n.newer[0].at), true
}

// receive takes the version that a peer has.
func (n *newerVersion) receive(now time.Time, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	newest := n.inForce
	if len(n.newer) > 0 {
		newest = n.newer[len(n.newer)-1].version
	}
	if version > newest {
		n.newer = append(n.newer, heardVersion{version: version, at: now})
	}
}

// putInForce takes the version that is in force here from now on. A newer one that a peer
// has still counts from when it was heard of.
func (n *newerVersion) putInForce(version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inForce = max(n.inForce, version)
	n.newer = slices.DeleteFunc(n.newer, func(heard heardVersion) bool { return heard.version <= n.inForce })
}
