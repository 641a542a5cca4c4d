package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// fleetLists are numbers of routers, and the time within which a change of the list of endpoints must
// reach all of them. Fleets whose messages contain all loads send fewer messages, so that medium-sized
// ones are the slowest.
var fleetLists = []struct {
	routers int
	bound   time.Duration
}{{4, 600 * time.Millisecond}, {26, time.Second}, {103, time.Second}, {390, 1500 * time.Millisecond}}

// TestFleetList simulates a change of the list of endpoints that one router reads, and bounds the time
// until all others have read it from a peer that reported it.
func TestFleetList(t *testing.T) {
	simulateListChange(t, &ryeford.EndpointUpdate{Present: []ryeford.Endpoint{{ID: "new"}}, Revision: 9, NewestChange: 9})
}

// TestFleetRestored is TestFleetList for the full list of a restored store, which has a lower number
// in a later era.
func TestFleetRestored(t *testing.T) {
	revision, err := ryeford.NewRevision(1, 2)
	assert.NilError(t, err)
	simulateListChange(t, &ryeford.EndpointUpdate{Snapshot: true, Present: []ryeford.Endpoint{{ID: "new"}}, Revision: revision})
}

func simulateListChange(t *testing.T, update *ryeford.EndpointUpdate) {
	t.Helper()
	for _, test := range fleetLists {
		f := newGossipingFleet(test.routers, 0, 1)
		for _, r := range f.routers {
			r.gossip.endpoints.applySource(&ryeford.EndpointUpdate{Snapshot: true, Revision: 5, ResponseStarted: time.Now()}, 0, time.Now())
			r.gossip.endpoints.setFullReadAt(time.Time{})
		}
		var half, all time.Duration
		changed := f.began.Add(simulatedWarmUp)
		f.schedule(changed, func(now time.Time) {
			first, read := f.routers[0].gossip.endpoints, *update
			read.ResponseStarted = time.Now()
			first.applySource(&read, 5, time.Now())
			f.readNewerCopies(now, changed, update.Revision, &half, &all)
		})
		f.run(simulatedWarmUp + test.bound + 100*time.Millisecond)
		t.Logf("%3d routers: half have the list after %s, all after %s", test.routers, half, all)
		assert.Check(t, all > 0 && all <= test.bound, "%d routers: %s", test.routers, all)
	}
}

// readNewerCopies makes each router read the newer copy that a peer has reported, until all routers
// have the list at a revision.
func (f *simulatedFleet) readNewerCopies(now, changed time.Time, revision ryeford.Revision, half, all *time.Duration) {
	const step = 5 * time.Millisecond // approximate duration of a read from a peer
	upToDate := 0
	for _, r := range f.routers {
		list := r.gossip.endpoints
		select {
		case c := <-list.newerCopy:
			changes := f.byAddress[c.peer].gossip.endpoints.copy.Since(list.copy.Range().To)
			list.apply(&changes, c.peer.String())
		default:
		}
		if list.copy.Range().From == revision {
			upToDate++
		}
	}
	if *half == 0 && 2*upToDate >= len(f.routers) {
		*half = now.Sub(changed)
	}
	if upToDate == len(f.routers) {
		*all = now.Sub(changed)
		return
	}
	f.schedule(now.Add(step), func(now time.Time) { f.readNewerCopies(now, changed, revision, half, all) })
}
