package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/freshness"
)

// A newerVersion is what is known of a version of the configuration that is newer than the
// one in force here. It is safe for concurrent use.
type newerVersion struct {
	mu         sync.Mutex
	inForce    int64          // here
	newest     int64          // at a peer
	reportedAt time.Time      // when a peer last reported newest
	peer       netip.AddrPort // that peer
	// changed says that the source has another version, whose number has not come yet.
	changed bool
	// late says that the one in force came later after it was asked for than a change may
	// take, and was not confirmed since: a newer one may be due.
	late bool
}

// known reports whether there is one.
func (n *newerVersion) known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed || n.newest > n.inForce
}

// recordReport takes the version that a peer has.
func (n *newerVersion) recordReport(now time.Time, peer netip.AddrPort, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version >= n.newest {
		n.newest, n.reportedAt, n.peer = version, now, peer
	}
}

// setChanged takes what the source has said before its answer has come whole.
func (n *newerVersion) setChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed = true
}

// mayExist reports whether there is one, or may have been for too long.
func (n *newerVersion) mayExist() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.late || n.changed || n.newest > n.inForce
}

// confirm takes an answer of the source by which it has the one that is in force.
func (n *newerVersion) confirm() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed, n.late = false, false
}

// reportedVersion returns the newest version that a peer has reported, or zero.
func (n *newerVersion) reportedVersion() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newest
}

// reporter returns the newest version that a peer has reported, and the peer that did
// last. It is invalid if there is none.
func (n *newerVersion) reporter() (int64, netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newest, n.peer
}

// recordContradiction takes that the source does not have the newest version that peers reported.
func (n *newerVersion) recordContradiction(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if freshness.Forgets(now.Sub(n.reportedAt)) {
		n.newest = n.inForce
	}
}

// setInForce takes the version that is in force here from now on, and whether it is late.
func (n *newerVersion) setInForce(version int64, late bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inForce, n.changed, n.late = version, false, late
}

// setInForceFromPeer takes the same of a version that came from a peer. What the source has said
// of another version, or that one may be due, stays until the source confirms this one.
func (n *newerVersion) setInForceFromPeer(version int64, late bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inForce, n.late = version, n.late || late
}

// versionOf returns the version of a catalog, or zero if there is none.
func versionOf(current *catalog.Catalog) int64 {
	if current == nil {
		return 0
	}
	return current.Version()
}
