package peers

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var (
	start  = time.Unix(1000, 0)
	limits = Limits{LoadTTL: 500 * time.Millisecond, PeerTTL: 3 * time.Second, MaxPeers: 4}
	self   = address(0)
)

// address returns the address of router n.
func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
}

// message returns a message of a peer with count requests at endpoint e.
func message(from byte, started int64, sequence uint64, count int) *Message {
	return &Message{Sender: address(from), Started: started, Sequence: sequence, Loads: []Load{{Endpoint: "e", Requests: count}}}
}

// requestsAt returns the peers' requests at endpoint e.
func requestsAt(t *Table, now time.Time) int { return t.Requests(now, "e") }

// newer reports whether a message is newer than the last one of its sender.
func newer(t *Table, now time.Time, m *Message) bool {
	newer, _ := t.Receive(now, m)
	return newer
}

// TestLoads checks that the loads of all peers are summed, that only the newest message of a peer's
// newest process counts, and that loads expire.
func TestLoads(t *testing.T) {
	table := New(self, limits)
	assert.Equal(t, table.Sample(start, "s"), Sample{})
	assert.Assert(t, newer(table, start, message(1, 1, 5, 3)))
	assert.Assert(t, newer(table, start, message(2, 1, 1, 4)))
	assert.Equal(t, requestsAt(table, start), 7)
	assert.Assert(t, !newer(table, start, message(1, 1, 4, 9)), "reordered")
	assert.Assert(t, !newer(table, start, message(1, 1, 5, 9)), "duplicated")
	assert.Assert(t, !newer(table, start, message(0, 1, 1, 9)), "sent by the router itself")
	assert.Assert(t, newer(table, start, message(1, 2, 1, 1)), "a new process")
	assert.Assert(t, !newer(table, start, message(1, 1, 6, 9)), "an earlier process")
	assert.Equal(t, requestsAt(table, start), 5)
	later := start.Add(limits.LoadTTL + 1)
	assert.Assert(t, newer(table, later, message(2, 1, 2, 4)))
	assert.Equal(t, requestsAt(table, later), 4)
	assert.Equal(t, table.Sample(later, "s"), Sample{Alive: 2, Counted: 1}, "the loads of one of two live peers count")
	assert.Equal(t, table.Alive(later), 2)
	assert.Equal(t, table.Alive(start.Add(limits.PeerTTL+1)), 1)
}

// TestMembers checks that peers named by another are added, that they expire without messages, and that
// their number is bounded.
func TestMembers(t *testing.T) {
	table := New(self, limits)
	assert.Equal(t, len(table.Targets(start, 8)), 0)
	table.Add(start, []netip.AddrPort{address(1), self, {}})
	assert.DeepEqual(t, table.Targets(start, 8), []netip.AddrPort{address(1)}, cmpopts.EquateComparable(netip.AddrPort{}))
	assert.Equal(t, len(table.Members(start, 8)), 0, "no message received yet")
	m := message(1, 1, 1, 0)
	m.Members = []Member{
		{Address: address(2), Age: 1000}, {Address: address(3), Age: AgeOf(limits.PeerTTL + time.Second)},
		{Address: address(4)}, {Address: address(5)}, {Address: address(6)},
	}
	table.Receive(start, m)
	assert.Equal(t, len(table.Targets(start, 8)), limits.MaxPeers)
	assert.Equal(t, len(table.Targets(start, 2)), 2)
	assert.Equal(t, len(table.Members(start, 8)), limits.MaxPeers, "the member with an expired age is not added")
	assert.Equal(t, table.Alive(start.Add(limits.PeerTTL-time.Second)), limits.MaxPeers)
	assert.Equal(t, table.Alive(start.Add(limits.PeerTTL-time.Second+1)), limits.MaxPeers-1, "one member was last alive a second earlier")
	assert.Equal(t, len(table.Targets(start.Add(limits.PeerTTL+1), 8)), 0)
}

// TestMembersAge checks that a peer's age is that of the newest sign of life, and that an expired peer is
// not added again by an old one.
func TestMembersAge(t *testing.T) {
	table := New(self, limits)
	named := message(1, 1, 1, 0)
	named.Members = []Member{{Address: address(2), Age: 500}}
	table.Receive(start, named)
	for _, member := range table.Members(start.Add(time.Second), 8) {
		if member.Address == address(2) {
			assert.Equal(t, member.Age, Age(1500))
		}
	}
	later := start.Add(limits.PeerTTL)
	again := message(1, 1, 2, 0)
	again.Members = []Member{{Address: address(2), Age: 3500}}
	table.Receive(later, again)
	assert.Equal(t, table.Alive(later), 1)
}

// TestBriefMessage checks that a brief message does not replace its sender's loads, and that only the
// first message of a process is reported as such.
func TestBriefMessage(t *testing.T) {
	table := New(self, limits)
	newer, first := table.Receive(start, message(1, 1, 1, 3))
	assert.Assert(t, newer && first)
	newer, first = table.Receive(start, &Message{Sender: address(1), Started: 1, Sequence: 2, Brief: true})
	assert.Assert(t, newer && !first)
	assert.Equal(t, requestsAt(table, start), 3)
	assert.Equal(t, requestsAt(table, start.Add(limits.LoadTTL+1)), 0)
	_, first = table.Receive(start, &Message{Sender: address(1), Started: 2, Sequence: 1, Brief: true})
	assert.Assert(t, first, "another process")
	assert.Assert(t, table.ReceivedRecently(start.Add(limits.PeerTTL)))
	assert.Assert(t, !table.ReceivedRecently(start.Add(limits.PeerTTL+1)))
}

// TestUnknownEndpoint checks that an endpoint without loads has no requests.
func TestUnknownEndpoint(t *testing.T) {
	table := New(self, limits)
	table.Receive(start, message(1, 1, 1, 3))
	assert.Equal(t, table.Requests(start, ryeford.EndpointID("other")), 0)
}

// TestRank checks that routers that see each other as alive agree on their order, that the order changes
// with the time slot, and that an isolated router is the first.
func TestRank(t *testing.T) {
	const routers = 4
	tables := make([]*Table, routers)
	for i := range tables {
		tables[i] = New(address(byte(i+1)), Limits{LoadTTL: time.Second, PeerTTL: 3 * time.Second, MaxPeers: 16})
		rank, alive := tables[i].Rank(start, 7)
		assert.Equal(t, rank, 0)
		assert.Equal(t, alive, 0)
		for j := range routers {
			if j != i {
				tables[i].Receive(start, message(byte(j+1), 1, 1, 0))
			}
		}
	}
	everFirst := make(map[int]bool)
	for slot := range uint64(32) {
		var seen [routers]bool
		for i, table := range tables {
			rank, alive := table.Rank(start, slot)
			assert.Equal(t, alive, routers-1)
			assert.Assert(t, !seen[rank], "two routers have the same rank")
			seen[rank] = true
			if rank == 0 {
				everFirst[i] = true
			}
		}
	}
	assert.Equal(t, len(everFirst), routers, "not every router was first in some time slot")
}

// TestRanked guards against routers that look for the records of streams at different peers, and against records that
// are sent to routers of releases that keep none.
func TestRanked(t *testing.T) {
	now := time.Now()
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
	}
	const routers = 9
	tables := make([]*Table, routers)
	for i := range tables {
		tables[i] = New(address(i), DefaultLimits())
		for j := range routers {
			if j != i {
				tables[i].Receive(now, &Message{Sender: address(j), Started: 1, Sequence: 1, KeepsRecords: j != 0})
			}
		}
	}
	for key := range uint64(50) {
		kept := tables[1].Ranked(now, key, 3)
		assert.Equal(t, len(kept), 3)
		asked := tables[2].Ranked(now, key, 4)
		for _, peer := range kept {
			assert.Assert(t, peer != address(0) && peer != address(1))
			assert.Assert(t, peer == address(2) || slices.Contains(asked, peer), "%v of %v", peer, asked)
		}
	}
	assert.Equal(t, len(tables[1].Ranked(now, 7, 100)), routers-2)
	assert.Equal(t, len(tables[1].Ranked(now.Add(time.Hour), 7, 100)), 0)
	tables[1].Receive(now, &Message{Sender: address(0), Started: 2, Sequence: 1, KeepsRecords: true})
	assert.Equal(t, len(tables[1].Ranked(now, 7, 100)), routers-1, "it has been replaced by a newer release")
}
