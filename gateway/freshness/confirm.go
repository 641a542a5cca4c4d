package freshness

// What confirms the configuration in force.
//
// Rule: an own read does, unless its revision is older than the newest one that was
// known when it was sent. A peer's confirmation does if it is of the very version
// in force here; if the peer has a newer version, or there is none here, the router
// reads by itself at once; if it has an older one, nothing follows.
//
// Why: a source whose reads are older than what it has answered before would keep a
// revoked key alive, and since leases are shared, at every router (commit 090e5a4).
// A peer does not send the configuration itself, so that a newer one must be read.

// Confirms reports whether an own read of a revision confirms what it says. known
// is the newest revision that was known when the read was sent.
func Confirms(revision, known int64) bool { return revision >= known }

// A PeerAction is what a router does after a peer has confirmed a version.
type PeerAction int

// The actions after a peer's confirmation.
const (
	// PeerIgnored means that the confirmation is of an older version than the one
	// here.
	PeerIgnored PeerAction = iota
	// PeerRenews means that it renews the lease.
	PeerRenews
	// PeerIsNewer means that the router reads the configuration at once.
	PeerIsNewer
)

// AfterPeer returns what to do after a peer has confirmed the version theirs. own
// is the version in force here; known is false if there is none.
func AfterPeer(known bool, own, theirs int64) PeerAction {
	switch {
	case !known || own < theirs:
		return PeerIsNewer
	case own == theirs:
		return PeerRenews
	}
	return PeerIgnored
}
