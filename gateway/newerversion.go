package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// A newerVersion is what is known of a configuration that is newer than the one in force
// here: the newest version that a peer has, and the newest state of the source that was
// found superseded, here or by a peer. The second is known before any router has the newer
// version. It is safe for concurrent use.
type newerVersion struct {
	mu       sync.Mutex
	inForce  int64                      // here
	state    ryeford.ConfigurationState // of the last answer that counts here
	newest   int64                      // at a peer
	replaced ryeford.ConfigurationState // the newest that was found superseded; zero for none
	since    time.Time                  // when a newer one than that in force was first known
}

// known reports whether there is one.
func (n *newerVersion) known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exists()
}

// knownFor returns for how long there has been one, and false if there is none.
func (n *newerVersion) knownFor(now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.since), n.exists()
}

// superseded returns the newest state that was found superseded, or zero.
func (n *newerVersion) superseded() ryeford.ConfigurationState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replaced
}

// receive takes the version that a peer has and a state that was found superseded; zero
// stands for none. It reports whether that is news: none newer than here was known before.
func (n *newerVersion) receive(now time.Time, version int64, superseded ryeford.ConfigurationState) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.exists()
	if !known {
		n.since = now
	}
	n.newest = max(n.newest, version)
	n.replaced = max(n.replaced, superseded)
	return !known && n.exists()
}

// read takes the version and the state of an answer that counts: earlier states are
// superseded. It reports whether that is news: the state is a later one, and none newer than
// here was known before. A newer version that is known all the same, after the answer, has
// been known since the time that was noted, or later.
func (n *newerVersion) read(version int64, state ryeford.ConfigurationState) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	news := state > n.state && !n.exists()
	n.inForce, n.state = version, state
	n.replaced = max(n.replaced, state-1)
	return news
}

// exists reports whether there is one. Its caller holds n.mu.
func (n *newerVersion) exists() bool {
	return n.newest > n.inForce || n.replaced > 0 && n.replaced >= n.state
}
