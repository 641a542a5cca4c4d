package peers

import "time"

// Which peers are alive, and how long their loads count.
//
// Rule: a peer is alive until PeerTTL, plus MemberTTL for each known peer, has passed since it was
// last known to be alive. Its own messages show that it is alive, and so do messages of other peers
// that name it, minus the age they state. Its loads count for LoadTTL after the message that held
// them.
//
// The reasons are in docs/decisions.md, Count a peer.
//
// Only the newest message of a peer counts: a datagram may be duplicated, reordered, or sent before
// the peer restarted.

const (
	// peerTTL is how long a peer counts as alive after its last message, and how long it is kept
	// after it was last seen.
	peerTTL = 3 * time.Second
	// memberTTL is added to peerTTL for each known peer, because in a larger fleet messages
	// name each peer less often.
	memberTTL = 50 * time.Millisecond
	// loadTTL is how long the loads in a peer's message count.
	loadTTL = time.Second
	// maxPeers bounds the memory for peers. It exceeds the largest supported fleet
	// (docs/CAPACITY.md).
	maxPeers = 1024
)

// Limits are the limits of a Table. The constants of the same names describe each one and hold the
// gateway's values.
type Limits struct {
	LoadTTL   time.Duration
	PeerTTL   time.Duration
	MemberTTL time.Duration
	MaxPeers  int
}

// DefaultLimits returns the gateway's Limits.
func DefaultLimits() Limits {
	return Limits{LoadTTL: loadTTL, PeerTTL: peerTTL, MemberTTL: memberTTL, MaxPeers: maxPeers}
}

// alive reports whether a peer that was last known to be alive age ago still counts as alive, given
// the number of known peers.
func (l *Limits) alive(age time.Duration, known int) bool {
	return age <= l.PeerTTL+time.Duration(known)*l.MemberTTL
}

func (l *Limits) loadsCount(age time.Duration) bool { return age <= l.LoadTTL }

// A version orders the messages of one sender.
type version struct {
	started  int64  // start of the sender's process, in nanoseconds on its VM's monotonic clock
	sequence uint64 // of the message within that process
}

// newerThan reports whether a message of version v was sent after one of version w.
func (v version) newerThan(w version) bool {
	if v.started != w.started {
		return v.started > w.started
	}
	return v.sequence > w.sequence
}
