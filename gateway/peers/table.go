package peers

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// Limits bound a Table.
type Limits struct {
	// Fresh is how long what a peer told of its load counts.
	Fresh time.Duration
	// Forget is how long a peer that says nothing is kept.
	Forget time.Duration
	// Members is how many peers are kept at most.
	Members int
}

// A Table is what a router knows of its peers.
type Table struct {
	limits Limits
	self   netip.AddrPort

	mu      sync.Mutex
	members map[netip.AddrPort]*member
	// sums are the loads of the members that are counted, by endpoint; counted and
	// heard are how many members are counted and were heard lately.
	sums    map[ryeford.EndpointID]int
	counted int
	heard   int
	swept   time.Time
}

// sweepEvery is how often it is looked whose loads have grown old: the sums are
// kept so that an estimate costs the same however many peers there are.
const sweepEvery = 20 * time.Millisecond

type member struct {
	told     time.Time // when it, or another peer, last told of it
	heard    time.Time // zero where only others told of it
	started  int64
	sequence uint64
	loads    []Load
	counted  bool // loads are in the sums
}

// New returns a Table of a router that knows nobody yet.
func New(self netip.AddrPort, limits Limits) *Table {
	return &Table{
		limits:  limits,
		self:    self,
		members: make(map[netip.AddrPort]*member),
		sums:    make(map[ryeford.EndpointID]int),
	}
}

// Hear takes a message, and reports whether it is news: neither old nor from an
// earlier life of its sender.
func (t *Table) Hear(now time.Time, message *Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	m := t.member(now, message.Sender)
	if m == nil || message.Started < m.started || (message.Started == m.started && message.Sequence <= m.sequence) {
		return false
	}
	m.heard, m.told = now, now
	m.started, m.sequence = message.Started, message.Sequence
	t.uncount(m)
	m.loads = message.Loads
	t.count(m)
	t.swept = time.Time{}
	for _, address := range message.Members {
		t.member(now, address)
	}
	return true
}

// count adds a member's loads to the sums.
func (t *Table) count(m *member) {
	for _, load := range m.loads {
		t.sums[load.Endpoint] += load.Requests
	}
	m.counted = true
	t.counted++
}

// uncount takes a member's loads out of the sums, where they are in.
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

// sweep forgets the peers that were not heard for too long, and no longer counts
// loads that have grown old.
func (t *Table) sweep(now time.Time) {
	if age := now.Sub(t.swept); age >= 0 && age < sweepEvery {
		return
	}
	t.swept = now
	t.expire(now)
	t.heard = 0
	for _, m := range t.members {
		age := now.Sub(m.heard)
		if age <= t.limits.Forget {
			t.heard++
		}
		if age > t.limits.Fresh {
			t.uncount(m)
		}
	}
}

// Add takes the addresses of peers that may be stale or down.
func (t *Table) Add(now time.Time, addresses []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.member(now, address)
	}
}

// member returns the entry of a peer, made where there is room, or nil.
func (t *Table) member(now time.Time, address netip.AddrPort) *member {
	m := t.members[address]
	if m == nil && len(t.members) < t.limits.Members && address.IsValid() && address != t.self {
		m = &member{told: now}
		t.members[address] = m
	}
	return m
}

// expire forgets the peers that were not heard for too long.
func (t *Table) expire(now time.Time) {
	for address, m := range t.members {
		if now.Sub(m.told) > t.limits.Forget {
			t.uncount(m)
			delete(t.members, address)
		}
	}
}

// Others estimates how many requests the peers have at an endpoint, from those
// that told lately: the others are taken to have as many. It reports whether any
// peer told lately.
func (t *Table) Others(now time.Time, endpoint ryeford.EndpointID) (requests float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.counted == 0 {
		return 0, false
	}
	return float64(t.sums[endpoint]) * float64(t.heard) / float64(t.counted), true
}

// Alive returns how many peers were heard lately.
func (t *Table) Alive(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.alive(now))
}

// alive returns the peers that were heard lately.
func (t *Table) alive(now time.Time) []netip.AddrPort {
	var alive []netip.AddrPort
	for address, m := range t.members {
		if now.Sub(m.heard) <= t.limits.Forget {
			alive = append(alive, address)
		}
	}
	return alive
}

// Targets returns at most k peers to tell, drawn at random.
func (t *Table) Targets(now time.Time, k int) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	targets := make([]netip.AddrPort, 0, len(t.members))
	for address := range t.members {
		targets = append(targets, address)
	}
	return draw(targets, k)
}

// Rank returns the place of this router among those that were heard lately, in an
// order that all routers find alike for the same turn: 0 is the first. It also
// returns how many were heard.
func (t *Table) Rank(now time.Time, turn uint64) (rank, heard int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := turnScore(t.self, turn)
	alive := t.alive(now)
	for _, address := range alive {
		if turnScore(address, turn) > own {
			rank++
		}
	}
	return rank, len(alive)
}

// turnScore returns by what routers are ordered in a turn.
func turnScore(address netip.AddrPort, turn uint64) uint64 {
	return route.Mix(route.KeyHash(turn), route.NameHash(address.String()))
}

// Members returns at most k peers that were heard lately, to be told to others,
// drawn at random.
func (t *Table) Members(now time.Time, k int) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return draw(t.alive(now), k)
}

// draw returns k of some addresses at random.
func draw(addresses []netip.AddrPort, k int) []netip.AddrPort {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(k, len(addresses))]
}
