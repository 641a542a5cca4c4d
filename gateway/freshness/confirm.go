package freshness

import (
	"time"

	"github.com/ryeford/ryeford"
)

// What confirms the configuration in force.
//
// Rule: an own read does, unless its revision is older than the newest one that was
// known when it was sent, or its version than the one in force or one that a peer had reported by then. What
// peers reported is forgotten if the source contradicts it newsTTL after they last did. A
// peer's confirmation does if it is of the very version in force here; if the peer has a
// newer version, or there is none here, the router reads by itself at once; if it has an
// older one, nothing follows.
//
// Why: a source whose reads are older than what it has answered before would keep a
// revoked key alive, and since leases are shared, at every router.
// A peer does not send the configuration with its word, so that a newer one must be read. Where
// the source and a peer contradict each other, either may be wrong: of a version that is in
// force somewhere peers tell in each round of gossip, while a message that was damaged comes
// once.

// newsTTL is how long after peers last reported a version the source is not believed against
// them: some rounds of gossip.
const newsTTL = time.Second

// Seen is what is known of the source's configuration.
type Seen struct {
	Revision ryeford.Revision // of the source
	Version  int64            // of the configuration
}

// Confirms reports whether an own read confirms what it says, given the newest that was
// known when it was sent.
func Confirms(read, known Seen) bool {
	return read.Revision >= known.Revision && read.Version >= known.Version
}

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

// Forgets reports whether what peers reported is forgotten once the source contradicts it.
// age is the time since they last did.
func Forgets(age time.Duration) bool { return age >= newsTTL }
