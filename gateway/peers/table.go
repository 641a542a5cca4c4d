package peers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// A Table holds a router's state of its peers. It is safe for concurrent use.
type Table struct {
	limits Limits
	self   netip.AddrPort
	hash   uint64 // of self

	mu       sync.Mutex
	members  map[netip.AddrPort]*member
	sums     sums
	received time.Time // when the last message was received
	alive    int       // live members at the last sweep
	swept    time.Time // time of the last sweep; zero forces the next one
}

// sweepInterval is the minimum time between two removals of expired loads from the sums. It keeps the
// cost of a choice independent of the number of peers (BenchmarkChoose).
const sweepInterval = 20 * time.Millisecond

type member struct {
	hash       uint64    // of its address
	lastSeen   time.Time // when it was last known to be alive, or was added
	known      bool      // lastSeen is a time at which it was known to be alive
	version    version   // of its last message
	loadsAt    time.Time // when its last full message was received
	requests   requests  // of that message
	recordless bool      // its last message shows that it keeps no records of streams
	counted    bool      // requests are in the sums
}

// New returns an empty Table for the router at address self.
func New(self netip.AddrPort, limits Limits) *Table {
	return &Table{limits: limits, self: self, hash: route.NameHash(self.String()), members: make(map[netip.AddrPort]*member), sums: newSums()}
}

// Receive merges a message. newer reports whether it was newer than the last message of its sender,
// and first whether it was the first one from the sender's process.
func (t *Table) Receive(now time.Time, message *Message) (newer, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.member(now, message.Sender)
	v := version{started: message.Started, sequence: message.Sequence}
	if m == nil || !v.newerThan(m.version) {
		return false, false
	}
	first = m.version.started != v.started
	t.received = now
	m.markAlive(now)
	m.version, m.recordless = v, !message.KeepsRecords
	if !message.Brief {
		t.uncount(m)
		m.requests, m.loadsAt = requestsOf(message), now
		t.count(m)
	}
	for i := range message.Members {
		t.mergeMember(now, &message.Members[i])
	}
	t.swept = time.Time{}
	return true, first
}

// ReceivedRecently reports whether a message was received within PeerTTL.
func (t *Table) ReceivedRecently(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.received.IsZero() && now.Sub(t.received) <= t.limits.PeerTTL
}

// mergeMember records that a peer considers named alive.
func (t *Table) mergeMember(now time.Time, named *Member) {
	seen := now.Add(-named.Age.Duration())
	m := t.members[named.Address]
	if m == nil && !t.limits.alive(named.Age.Duration(), len(t.members)) {
		return // it may have expired here since
	}
	if m = t.member(seen, named.Address); m != nil {
		m.markAlive(seen)
	}
}

// markAlive records that the peer was alive at the given time.
func (m *member) markAlive(at time.Time) {
	if !m.known || at.After(m.lastSeen) {
		m.lastSeen, m.known = at, true
	}
}

// Add adds peers that are not known to be alive.
func (t *Table) Add(now time.Time, addresses []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range addresses {
		t.member(now, address)
	}
}

// Requests returns the number of requests in flight at an endpoint from the peers whose loads count.
// Sample returns what fraction of all peers these are.
func (t *Table) Requests(now time.Time, endpoint ryeford.EndpointID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	return t.sums.loads[endpoint]
}

// Demand returns the number of requests with a prompt in flight from the peers whose loads count.
func (t *Table) Demand(now time.Time, prompt uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	return t.sums.demands[uint32(prompt)]
}

// Sample returns the numbers of live and counted peers, and the counted peers' requests in flight at
// a service.
func (t *Table) Sample(now time.Time, service string) Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	return Sample{
		Alive: t.alive, Counted: t.sums.counted, Complete: t.sums.complete,
		Requests: t.sums.totals[uint32(route.NameHash(service))],
	}
}

// Alive returns the number of live peers.
func (t *Table) Alive(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.swept = time.Time{}
	t.sweep(now)
	return t.alive
}

// Targets returns at most k peers to send to, drawn at random. They include peers that were only
// named by others, so that those are notified of this router.
func (t *Table) Targets(now time.Time, k int) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	addresses := make([]netip.AddrPort, 0, len(t.members))
	for address := range t.members {
		addresses = append(addresses, address)
	}
	return draw(addresses, k)
}

// Members returns at most k live peers, drawn at random, to be named in a message.
func (t *Table) Members(now time.Time, k int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	for _, address := range draw(t.aliveMembers(now), k) {
		members = append(members, Member{Address: address, Age: AgeOf(now.Sub(t.members[address].lastSeen))})
	}
	return members
}

// Rank returns the rank of this router, from 0, among itself and the live peers, and the number of
// live peers. Routers that see the same peers as alive agree on the order, which changes with each
// time slot.
func (t *Table) Rank(now time.Time, slot uint64) (rank, alive int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := route.KeyHash(slot)
	local := route.Mix(key, t.hash)
	for _, m := range t.members {
		if !t.isAlive(now, m) {
			continue
		}
		alive++
		if route.Mix(key, m.hash) > local {
			rank++
		}
	}
	return rank, alive
}

// Ranked returns at most n live peers, in rendezvous order of a key, without those that are known to keep no records of
// streams. Routers that see the same peers as alive agree on the order, but each leaves itself out.
func (t *Table) Ranked(now time.Time, key uint64, n int) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := make([]netip.AddrPort, 0, n+1)
	scores := make([]uint64, 0, n+1)
	for address, m := range t.members {
		if !t.isAlive(now, m) || m.recordless {
			continue
		}
		score := route.Mix(route.KeyHash(key), m.hash)
		at := sort.Search(len(scores), func(i int) bool { return scores[i] < score })
		if at == n {
			continue
		}
		first, scores = slices.Insert(first, at, address), slices.Insert(scores, at, score)
		if len(first) > n {
			first, scores = first[:n], scores[:n]
		}
	}
	return first
}

func (t *Table) count(m *member) {
	t.sums.add(&m.requests, 1)
	m.counted = true
}

func (t *Table) uncount(m *member) {
	if m.counted {
		t.sums.add(&m.requests, -1)
		m.counted = false
	}
}

// sweep updates the sums and the number of live peers, at most once per sweepInterval.
func (t *Table) sweep(now time.Time) {
	if age := now.Sub(t.swept); age >= 0 && age < sweepInterval {
		return
	}
	t.swept = now
	t.expire(now)
	t.alive = 0
	for _, m := range t.members {
		if t.isAlive(now, m) {
			t.alive++
		}
		if !t.limits.loadsCount(now.Sub(m.loadsAt)) {
			t.uncount(m)
		}
	}
}

// member returns the entry of a peer and creates it if there is room. Otherwise it returns nil.
func (t *Table) member(now time.Time, address netip.AddrPort) *member {
	m := t.members[address]
	if m == nil && len(t.members) < t.limits.MaxPeers && address.IsValid() && address != t.self {
		m = &member{lastSeen: now, hash: route.NameHash(address.String())}
		t.members[address] = m
	}
	return m
}

func (t *Table) expire(now time.Time) {
	for address, m := range t.members {
		if !t.limits.alive(now.Sub(m.lastSeen), len(t.members)) {
			t.uncount(m)
			delete(t.members, address)
		}
	}
}

func (t *Table) isAlive(now time.Time, m *member) bool {
	return m.known && t.limits.alive(now.Sub(m.lastSeen), len(t.members))
}

func (t *Table) aliveMembers(now time.Time) []netip.AddrPort {
	alive := make([]netip.AddrPort, 0, len(t.members))
	for address, m := range t.members {
		if t.isAlive(now, m) {
			alive = append(alive, address)
		}
	}
	return alive
}

// draw returns at most k of the addresses, drawn at random. It reorders the slice.
func draw(addresses []netip.AddrPort, k int) []netip.AddrPort {
	k = min(k, len(addresses))
	for i := range k {
		j := i + rand.IntN(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:k]
}
