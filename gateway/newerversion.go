package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/freshness"
)

// A newerVersion tracks whether a newer version of the configuration exists than the one in force at
// this router. It is safe for concurrent use.
type newerVersion struct {
	mu         sync.Mutex
	inForce    int64          // at this router
	newest     int64          // reported by a peer
	reportedAt time.Time      // when a peer last reported newest
	peer       netip.AddrPort // the peer that reported it
	// changed is set if the source has another version whose number has not been received yet.
	changed bool
	// late is set if the configuration in force arrived later after it was requested than a change may
	// take, and has not been confirmed since. A newer one may exist.
	late bool
}

// known reports whether a newer version is known to exist.
func (n *newerVersion) known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed || n.newest > n.inForce
}

// recordReport records the version that a peer has reported.
func (n *newerVersion) recordReport(now time.Time, peer netip.AddrPort, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version >= n.newest {
		n.newest, n.reportedAt, n.peer = version, now, peer
	}
}

// setChanged records that the source has another version, before its answer is complete.
func (n *newerVersion) setChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed = true
}

// mayExist reports whether a newer version is known or may exist because the one in force arrived
// late.
func (n *newerVersion) mayExist() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.late || n.changed || n.newest > n.inForce
}

// confirm records that the source has the version in force.
func (n *newerVersion) confirm() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed, n.late = false, false
}

// reportedVersion returns the newest version that a peer has reported, or zero if there is none.
func (n *newerVersion) reportedVersion() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newest
}

// reporter returns the newest version that a peer has reported, and the last peer to report it. The
// address is invalid if there is none.
func (n *newerVersion) reporter() (int64, netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newest, n.peer
}

// recordContradiction records that the source does not have the newest version that peers have
// reported, and drops that version if the report is old enough (freshness.PeerReportExpired).
func (n *newerVersion) recordContradiction(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if freshness.PeerReportExpired(now.Sub(n.reportedAt)) {
		n.newest = n.inForce
	}
}

// setInForce records the version in force from now on, and whether it arrived late.
func (n *newerVersion) setInForce(version int64, late bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inForce, n.changed, n.late = version, false, late
}

// setInForceFromPeer is setInForce for a version that was read from a peer. It does not reset changed
// and late: the source has not confirmed this version yet.
func (n *newerVersion) setInForceFromPeer(version int64, late bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inForce, n.late = version, n.late || late
}

// versionOf returns the version of a catalog, or zero if it is nil.
func versionOf(current *catalog.Catalog) int64 {
	if current == nil {
		return 0
	}
	return current.Version()
}
