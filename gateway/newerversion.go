package gateway

import "sync"

// A newerVersion is what is known of a version of the configuration that is newer than the
// one in force here. It is safe for concurrent use.
type newerVersion struct {
	mu      sync.Mutex
	inForce int64 // here
	newest  int64 // at a peer
	// changed says that the source has another version, whose number has not come yet.
	changed bool
}

// known reports whether there is one.
func (n *newerVersion) known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed || n.newest > n.inForce
}

// receive takes the version that a peer has.
func (n *newerVersion) receive(version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.newest = max(n.newest, version)
}

// setChanged takes what the source has said before its answer has come whole.
func (n *newerVersion) setChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed = true
}

// putInForce takes the version that is in force here after an answer of the source.
func (n *newerVersion) putInForce(version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inForce, n.changed = version, false
}
