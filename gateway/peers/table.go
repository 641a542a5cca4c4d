package peers

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// A Table is what a router knows of its peers. It is safe for concurrent use.
type Table struct {
	limits Limits
	self   netip.AddrPort

	mu      sync.Mutex
	members map[netip.AddrPort]*member
	// sums are the loads of the members whose loads count, by endpoint. They are
	// kept from message to message so that an estimate costs the same however many
	// peers there are.
	sums    map[ryeford.EndpointID]int
	counted int // members whose loads are in sums
	alive   int // members that were alive at the last sweep
	swept   time.Time
}

// sweepInterval is how often loads that have grown too old are taken out of the
// sums, so that a choice costs the same however many peers there are (BenchmarkChoose).
const sweepInterval = 20 * time.Millisecond

type member struct {
	lastSeen    time.Time // when its last message came or, without one, when it was added
	lastMessage time.Time // zero if only other peers have named it
	version     version   // of its last message
	loads       []Load    // of its last message
	counted     bool      // loads are in the sums
}

// New returns an empty Table of the router at address self.
func New(self netip.AddrPort, limits Limits) *Table {
	return &Table{
		limits:  limits,
		self:    self,
		members: make(map[netip.AddrPort]*member),
		sums:    make(map[ryeford.EndpointID]int),
	}
}

// Receive merges a message and reports whether it was newer than what is known of
// its sender.
func (t *Table) Receive(now time.Time, message *Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	m := t.member(now, message.Sender)
	v := version{started: message.Started, sequence: message.Sequence}
	if m == nil || !v.after(m.version) {
		return false
	}
	m.lastMessage, m.lastSeen = now, now
	m.version = v
	t.uncount(m)
	m.loads = message.Loads
	t.count(m)
	t.swept = time.Time{}
	for _, address := range message.Members {
		t.member(now, address)
	}
	return true
}

// Add adds peers that may be stale or down.
func (t *Table) Add(now time.Time, addresses []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.member(now, address)
	}
}

// Requests estimates how many requests the peers together have under way at an
// endpoint. It reports false if no peer's loads count.
func (t *Table) Requests(now time.Time, endpoint ryeford.EndpointID) (requests float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.counted == 0 {
		return 0, false
	}
	return extrapolate(t.sums[endpoint], t.counted, t.alive), true
}

// Alive returns how many peers are alive.
func (t *Table) Alive(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.aliveMembers(now))
}

// Targets returns at most k peers to send to, drawn at random. Peers that have
// only been named by others are among them, so that they learn of this router.
func (t *Table) Targets(now time.Time, k int) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return draw(slices.Collect(maps.Keys(t.members)), k)
}

// Members returns at most k peers that are alive, drawn at random, to be named to
// other peers.
func (t *Table) Members(now time.Time, k int) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return draw(t.aliveMembers(now), k)
}

// Rank returns the place of this router, from 0, among itself and the peers that
// are alive, in an order that all routers agree on and that differs from shift to
// shift. It also returns how many peers are alive.
func (t *Table) Rank(now time.Time, shift uint64) (rank, alive int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := shiftScore(t.self, shift)
	addresses := t.aliveMembers(now)
	for _, address := range addresses {
		if shiftScore(address, shift) > own {
			rank++
		}
	}
	return rank, len(addresses)
}

// shiftScore returns the score by which routers are ordered in a shift.
func shiftScore(address netip.AddrPort, shift uint64) uint64 {
	return route.Mix(route.KeyHash(shift), route.NameHash(address.String()))
}

func (t *Table) count(m *member) {
	for _, load := range m.loads {
		t.sums[load.Endpoint] += load.Requests
	}
	m.counted = true
	t.counted++
}

func (t *Table) uncount(m *member) {
	if !m.counted {
		return
	}
	for _, load := range m.loads {
		if t.sums[load.Endpoint] -= load.Requests; t.sums[load.Endpoint] == 0 {
			delete(t.sums, load.Endpoint)
		}
	}
	m.counted = false
	t.counted--
}

// sweep brings the sums and the number of live peers up to date.
func (t *Table) sweep(now time.Time) {
	if age := now.Sub(t.swept); age >= 0 && age < sweepInterval {
		return
	}
	t.swept = now
	t.expire(now)
	t.alive = 0
	for _, m := range t.members {
		age := now.Sub(m.lastMessage)
		if t.limits.alive(age) {
			t.alive++
		}
		if !t.limits.loadsCount(age) {
			t.uncount(m)
		}
	}
}

// member returns the entry of a peer, made if there is room, or nil.
func (t *Table) member(now time.Time, address netip.AddrPort) *member {
	m := t.members[address]
	if m == nil && len(t.members) < t.limits.MaxPeers && address.IsValid() && address != t.self {
		m = &member{lastSeen: now}
		t.members[address] = m
	}
	return m
}

func (t *Table) expire(now time.Time) {
	for address, m := range t.members {
		if !t.limits.alive(now.Sub(m.lastSeen)) {
			t.uncount(m)
			delete(t.members, address)
		}
	}
}

func (t *Table) aliveMembers(now time.Time) []netip.AddrPort {
	var alive []netip.AddrPort
	for address, m := range t.members {
		if t.limits.alive(now.Sub(m.lastMessage)) {
			alive = append(alive, address)
		}
	}
	return alive
}

// draw returns at most k of some addresses, drawn at random.
func draw(addresses []netip.AddrPort, k int) []netip.AddrPort {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(k, len(addresses))]
}
