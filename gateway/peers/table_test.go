package peers

import (
	"net/netip"
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

// message returns a message of a peer with requests at endpoint e.
func message(from byte, started int64, sequence uint64, count int) *Message {
	return &Message{Sender: address(from), Started: started, Sequence: sequence, Loads: []Load{{Endpoint: "e", Requests: count}}}
}

// requests returns the peers' requests at endpoint e.
func requests(t *Table, now time.Time) float64 {
	n, _ := t.Requests(now, "e")
	return n
}

// TestLoads checks that loads add up, that only the newest message of the newest
// process counts, and that old loads do not.
func TestLoads(t *testing.T) {
	table := New(self, limits)
	_, known := table.Requests(start, "e")
	assert.Assert(t, !known)
	assert.Assert(t, table.Receive(start, message(1, 1, 5, 3)))
	assert.Assert(t, table.Receive(start, message(2, 1, 1, 4)))
	assert.Equal(t, requests(table, start), 7.0)
	assert.Assert(t, !table.Receive(start, message(1, 1, 4, 9)), "overtaken")
	assert.Assert(t, !table.Receive(start, message(1, 1, 5, 9)), "duplicated")
	assert.Assert(t, !table.Receive(start, message(0, 1, 1, 9)), "its own")
	assert.Assert(t, table.Receive(start, message(1, 2, 1, 1)), "a new process")
	assert.Assert(t, !table.Receive(start, message(1, 1, 6, 9)), "an earlier process")
	assert.Equal(t, requests(table, start), 5.0)
	later := start.Add(limits.LoadTTL + 1)
	assert.Assert(t, table.Receive(later, message(2, 1, 2, 4)))
	assert.Equal(t, requests(table, later), 8.0, "one of two live peers has 4, and its loads alone count")
	assert.Equal(t, table.Alive(later), 2)
	assert.Equal(t, table.Alive(start.Add(limits.PeerTTL+1)), 1)
}

// TestMembers checks that the peers that another names are added, that those which never
// send a message are dropped, and that their number is bounded.
func TestMembers(t *testing.T) {
	table := New(self, limits)
	assert.Equal(t, len(table.Targets(start, 8)), 0)
	table.Add(start, []netip.AddrPort{address(1), self, {}})
	assert.DeepEqual(t, table.Targets(start, 8), []netip.AddrPort{address(1)}, cmpopts.EquateComparable(netip.AddrPort{}))
	assert.Equal(t, len(table.Members(start, 8)), 0, "no message was received yet")
	m := message(1, 1, 1, 0)
	m.Members = []netip.AddrPort{address(2), address(3), address(4), address(5), address(6)}
	table.Receive(start, m)
	assert.Equal(t, len(table.Targets(start, 8)), limits.MaxPeers)
	assert.Equal(t, len(table.Targets(start, 2)), 2)
	assert.DeepEqual(t, table.Members(start, 8), []netip.AddrPort{address(1)}, cmpopts.EquateComparable(netip.AddrPort{}))
	assert.Equal(t, len(table.Targets(start.Add(limits.PeerTTL+1), 8)), 0)
}

// TestUnknownEndpoint checks that an endpoint without loads has none.
func TestUnknownEndpoint(t *testing.T) {
	table := New(self, limits)
	table.Receive(start, message(1, 1, 1, 3))
	n, known := table.Requests(start, ryeford.EndpointID("other"))
	assert.Equal(t, n, 0.0)
	assert.Assert(t, known)
}

// TestRank checks that routers which are alive for each other agree on their order,
// that it changes from shift to shift, and that a router without peers is the first.
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
	firsts := make(map[int]bool)
	for shift := range uint64(32) {
		var seen [routers]bool
		for i, table := range tables {
			rank, alive := table.Rank(start, shift)
			assert.Equal(t, alive, routers-1)
			assert.Assert(t, !seen[rank], "two routers of one rank")
			seen[rank] = true
			if rank == 0 {
				firsts[i] = true
			}
		}
	}
	assert.Equal(t, len(firsts), routers, "each is the first in some shift")
}
