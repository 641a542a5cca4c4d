package peers

import "time"

// Which peers count, and for how much.
//
// Rule: a peer is alive for PeerTTL, and MemberTTL more for each peer that is known, after it
// last was known to be: by its own message, or by another's that names it, less the age that
// this says. Its loads count for LoadTTL after the message that held them.
//
// The reasons are in docs/decisions.md, Count a peer.
//
// Of a peer's messages only the newest counts: a datagram may be duplicated,
// overtaken by a later one, or come from before the peer was started anew.

const (
	// peerTTL is how long a peer counts as alive after its last message, and how long
	// it is kept after it was last seen: twenty rounds of gossip.
	peerTTL = 3 * time.Second
	// memberTTL is added to it for each peer that is known: the same bytes a second name each
	// of them more rarely.
	memberTTL = 50 * time.Millisecond
	// loadTTL is how long the loads in a peer's message count.
	loadTTL = time.Second
	// maxPeers bounds the memory for peers, at more than twice the 390 routers of
	// docs/CAPACITY.md.
	maxPeers = 1024
)

// Limits bound a Table. The constants of the same names, which are the gateway's, say
// what each one is.
type Limits struct {
	LoadTTL   time.Duration
	PeerTTL   time.Duration
	MemberTTL time.Duration
	MaxPeers  int
}

// DefaultLimits returns the Limits of a gateway.
func DefaultLimits() Limits {
	return Limits{LoadTTL: loadTTL, PeerTTL: peerTTL, MemberTTL: memberTTL, MaxPeers: maxPeers}
}

// alive reports whether a peer is that was last known to be so long ago, among so many.
func (l *Limits) alive(age time.Duration, known int) bool {
	return age <= l.PeerTTL+time.Duration(known)*l.MemberTTL
}

func (l *Limits) loadsCount(age time.Duration) bool { return age <= l.LoadTTL }

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
