package streamversion

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// Who knows which version began a stream.
//
// Rule: while a service may have several versions, the router that begins a stream keeps a record of the version and
// sends it to Replicas peers, the first in rendezvous order of the stream's key. It does so together with the request,
// and passes the first event on once a peer has confirmed the record. A router at which the stream is taken up asks
// the first peers in the same order.
//
// Why: a stream is taken up when its router has been killed, so others must know; and each router must find them
// without knowing which router began the stream.

const (
	// Replicas is the number of peers that keep the record of a stream, beside the router that began it.
	Replicas = 3
	// lookupPeers is the number of peers that are asked first for a record. One more than Replicas, since the order of
	// the router that began the stream does not contain itself.
	lookupPeers = Replicas + 1
	// maxLookupPeers is the number of peers that are asked at most. Routers that started recently may precede those
	// that have the record.
	maxLookupPeers = 2 * lookupPeers
	// confirmTimeout is how long the first event waits for a peer to confirm the record. It is sent then, and the
	// stream can be taken up only where this router's record is found.
	confirmTimeout = 20 * time.Millisecond
	// replaceTimeout is how long it waits if peers may keep a record of an earlier attempt at another version. All of
	// them must confirm its replacement.
	replaceTimeout = 100 * time.Millisecond
	// lookupTimeout is how long a lookup waits for peers that don't reply.
	lookupTimeout = 150 * time.Millisecond
)

// Options are the dependencies of a Tracker.
type Options struct {
	Self    netip.AddrPort // this router's gossip address; invalid if it has no peers
	Limits  Limits
	History *History
	// Ranked returns the first n live peers in rendezvous order of a key.
	Ranked func(now time.Time, key uint64, n int) []netip.AddrPort
	// Send sends a datagram to a peer. It must not call the Tracker.
	Send func(to netip.AddrPort, datagram []byte)
	// Now returns the time of the monotonic clock.
	Now func() time.Time
	// OnBegun is called when a stream has begun of which the platform's store may hold no proof. It must not call the
	// Tracker. It may be nil.
	OnBegun func(begun Begun)
	// Restore asks the platform's store for a record, after no peer knew it, and updates the History with what the store
	// holds. If record is false, it only does that, and reports whether it could. It may be nil.
	Restore func(ctx context.Context, key Key, record bool) (ryeford.SoftwareVersion, bool)
}

// A Tracker knows which software version began the streams that may be taken up at this router. It is safe for
// concurrent use.
type Tracker struct {
	self    netip.AddrPort
	history *History
	ranked  func(now time.Time, key uint64, n int) []netip.AddrPort
	send    func(to netip.AddrPort, datagram []byte)
	now     func() time.Time
	onBegun func(begun Begun)
	restore func(ctx context.Context, key Key, record bool) (ryeford.SoftwareVersion, bool)

	mu       sync.Mutex
	records  *table
	calls    map[uint64]*call
	lastCall uint64
	// running are the streams that have begun here and have no record, since their service had one version.
	running map[*Stream]bool
}

// NewTracker returns a Tracker without records.
func NewTracker(o Options) *Tracker {
	if o.OnBegun == nil {
		o.OnBegun = func(Begun) {}
	}
	return &Tracker{
		self: o.Self, history: o.History, ranked: o.Ranked, send: o.Send, now: o.Now, onBegun: o.OnBegun, restore: o.Restore,
		records: newTable(o.Limits.Records), calls: make(map[uint64]*call), running: make(map[*Stream]bool),
		// A reply to a call of an earlier process at this address must not match a call of this one.
		lastCall: rand.Uint64(),
	}
}

// Receive handles a datagram from a peer. It reports false if the datagram is malformed.
func (t *Tracker) Receive(datagram []byte) bool {
	m, ok := decode(datagram)
	if !ok {
		return false
	}
	now := t.now()
	only, _ := t.history.only(now, service(m.Record.Key.Service))
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := message{Kind: kindReply, Sender: t.self, Call: m.Call, Record: Record{Key: m.Record.Key}, Only: only}
	switch m.Kind {
	case kindReply:
		t.receiveReply(m)
		return true
	case kindStore:
		t.records.put(now, m.Record)
	case kindLookup:
		if record, ok := t.records.get(now, m.Record.Key); ok {
			answer.Record, answer.Found, answer.AgeMs = record.Record, true, uint32(now.Sub(record.kept).Milliseconds())
		}
	}
	t.sendTo(m.Sender, &answer)
	return true
}

// sendTo sends a message to a peer.
func (t *Tracker) sendTo(peer netip.AddrPort, m *message) {
	if datagram, err := encode(m); err == nil { // each message can be encoded
		t.send(peer, datagram)
	}
}

// Sweep removes expired records. It must be called regularly, and after each change of the list of endpoints: it
// also sends records of running streams whose service may have several versions by now.
func (t *Tracker) Sweep(now time.Time) {
	ttl := t.history.Memory()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.expire(now, ttl)
	for s := range t.running {
		if _, only := t.history.OnlyStored(now, s.service); !only {
			delete(t.running, s)
			t.store(now, s, s.constraint.software, func() {})
			t.onBegun(Begun{Key: s.key, Software: s.constraint.software})
		}
	}
}

// Len returns the number of records.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records.records)
}

// store keeps a record of a stream and sends it to peers. t.mu is held.
func (t *Tracker) store(now time.Time, s *Stream, software ryeford.SoftwareVersion, onReply func()) {
	s.attempt++
	record := Record{Key: s.key, Attempt: s.attempt, Software: software}
	t.records.put(now, record)
	if s.call != nil {
		t.endCall(s.call)
	}
	if s.replicas == nil {
		s.replicas = t.ranked(now, s.key.Request, Replicas)
	}
	s.call = t.startCall(message{Kind: kindStore, Record: record}, s.replicas, onReply)
}
