package peers

import "time"

// Which peers count, and for how much.
//
// Rule: a peer is alive for PeerTTL after its last message, and its loads count for
// LoadTTL. Peers that are alive but whose loads no longer count are taken to have
// as many requests at an endpoint as the others have on average.
//
// The reasons are in docs/decisions.md, Count a peer.
//
// Of a peer's messages only the newest counts: a datagram may be duplicated,
// overtaken by a later one, or come from before the peer was started anew.

const (
	// peerTTL is how long a peer counts as alive after its last message, and how long
	// it is kept after it was last seen: twenty rounds of gossip. Not measured.
	peerTTL = 3 * time.Second
	// loadTTL is how long the loads in a peer's message count. Not
	// measured apart from BytesPerSecond.
	loadTTL = time.Second
	// maxPeers bounds the memory for peers, at more than twice the 390 routers of
	// docs/CAPACITY.md. Not measured.
	maxPeers = 1024
)

// Limits bound a Table. The constants of the same names, which are the gateway's, say
// what each one is.
type Limits struct {
	LoadTTL  time.Duration
	PeerTTL  time.Duration
	MaxPeers int
}

// DefaultLimits returns the Limits of a gateway.
func DefaultLimits() Limits {
	return Limits{LoadTTL: loadTTL, PeerTTL: peerTTL, MaxPeers: maxPeers}
}

func (l *Limits) alive(age time.Duration) bool { return age <= l.PeerTTL }

func (l *Limits) loadsCount(age time.Duration) bool { return age <= l.LoadTTL }

// extrapolate estimates how many requests all peers that are alive have at an
// endpoint, from the sum over those whose loads count, of which there must be one.
func extrapolate(sum, counted, alive int) float64 {
	return float64(sum) * float64(alive) / float64(counted)
}

// A version orders the messages of one sender.
type version struct {
	started  int64  // of the sender's process, in nanoseconds of its VM's steady clock
	sequence uint64 // within that process
}

// after reports whether a message of version v was sent after one of version w.
func (v version) after(w version) bool {
	if v.started != w.started {
		return v.started > w.started
	}
	return v.sequence > w.sequence
}
