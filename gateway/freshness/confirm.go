package freshness

import (
	"time"

	"github.com/ryeford/ryeford"
)

// Which reads and peer messages confirm the configuration in force.
//
// Rule: a local read confirms it unless the read returned an older revision than the newest one
// known when the read was sent, or an older version than the one in force or one reported by a
// peer by then. A peer's confirmation counts if it is for the version in force here. If the peer
// has a newer version, or no configuration is in force here, the router reads the source at
// once. An older version is ignored. A version reported by peers is dropped if the source still
// returns an older one peerReportTTL after the last report.
//
// Why: a source that returns stale reads would keep a revoked key valid, and, because
// confirmations are shared, on every router. Gossip does not carry the configuration, so a newer
// one must be read from the source. If the source and a peer disagree, either may be wrong:
// peers repeat a version that is in force in each gossip round, but a corrupted message arrives
// once.

// peerReportTTL is how long a version reported by peers takes precedence over the source. It
// covers several gossip rounds.
const peerReportTTL = time.Second

// SourceState is a state of the source's configuration.
type SourceState struct {
	Revision ryeford.Revision // of the source
	Version  int64            // of the configuration
}

// Confirms reports whether a local read confirms the configuration that it returned. known is
// the newest state that was known when the read was sent.
func Confirms(read, known SourceState) bool {
	return read.Revision >= known.Revision && read.Version >= known.Version
}

// A PeerAction is a router's reaction to a version confirmed by a peer.
type PeerAction int

// The actions after a peer's confirmation.
const (
	// PeerIgnored means that the confirmation is for an older version than the one in force
	// and has no effect.
	PeerIgnored PeerAction = iota
	// PeerConfirms means that the confirmation renews the lease.
	PeerConfirms
	// PeerIsNewer means that the router must read the configuration from the source immediately.
	PeerIsNewer
)

// PeerActionFor returns what to do after a peer has confirmed the version reported. local is the
// version in force here; configured is false if there is none.
func PeerActionFor(configured bool, local, reported int64) PeerAction {
	switch {
	case !configured || local < reported:
		return PeerIsNewer
	case local == reported:
		return PeerConfirms
	}
	return PeerIgnored
}

// PeerReportExpired reports whether a version reported by peers is dropped when the source
// contradicts it. age is the time since the last report.
func PeerReportExpired(age time.Duration) bool { return age >= peerReportTTL }
