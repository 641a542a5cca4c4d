package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/placement"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestRecentEngines checks how long an engine counts after the loss of its agent.
func TestRecentEngines(t *testing.T) {
	const lostTimeout = 30 * time.Second
	engine := placement.Engine{ID: "e", VM: "endpoint-1"}
	for _, test := range []struct {
		name      string
		elapsed   time.Duration
		connected bool
		leaving   bool
		want      int
	}{
		{"connected", 0, true, false, 1},
		{"lost", lostTimeout, false, false, 1},
		{"lost for too long", lostTimeout + 1, false, false, 0},
		{"reconnected after a long time", 2 * lostTimeout, true, false, 1},
		{"leaving", 0, false, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			recent := make(recentEngines)
			recent.update(now, []placement.Engine{engine}, nil, lostTimeout)
			var connected []placement.Engine
			if test.connected {
				connected = append(connected, engine)
			}
			engines := recent.update(now.Add(test.elapsed), connected, map[ryeford.VMID]bool{"endpoint-1": test.leaving}, lostTimeout)
			assert.Equal(t, len(engines), test.want)
			assert.Equal(t, len(recent), test.want)
		})
	}
}

// TestPlaceableEngines checks which engines a plan covers, and which pools they count
// as serving.
func TestPlaceableEngines(t *testing.T) {
	lira, psalm := []ryeford.Pool{{Model: "lira"}}, []ryeford.Pool{{Model: "psalm"}}
	plan := &ryeford.Plan{Assignments: []ryeford.Assignment{{Engine: "endpoint-1.1", Pools: psalm}}}
	for _, test := range []struct {
		name    string
		change  func(a *agent)
		plan    *ryeford.Plan
		want    []ryeford.Pool // nil if the engine does not count
		leaving bool
	}{
		{"no plan", func(*agent) {}, nil, lira, false},
		{"the plan takes precedence", func(*agent) {}, plan, psalm, false},
		{"a plan without the engine", func(*agent) {}, &ryeford.Plan{}, lira, false},
		{"the agent is leaving", func(a *agent) { a.inventory.Leaving = true }, nil, nil, true},
		{"the list marks the VM as leaving", func(a *agent) { a.vm.State = ryeford.VMLeaving }, nil, nil, true},
		{"a plain service", func(a *agent) { a.inventory.Engines = []wire.EngineState{{ID: "s", Service: "echo"}} }, nil, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := testAgent("endpoint-1", "lira")
			test.change(a)
			engines, leaving := placeableEngines([]*agent{a}, test.plan)
			assert.Equal(t, leaving["endpoint-1"], test.leaving)
			assert.Equal(t, len(engines) > 0, test.want != nil)
			if test.want != nil {
				assert.DeepEqual(t, engines[0].Pools, test.want)
			}
		})
	}
}

// TestShouldPublish checks when a plan supersedes the current one.
func TestShouldPublish(t *testing.T) {
	lira := []ryeford.Assignment{{Engine: "e", Pools: []ryeford.Pool{{Model: "lira"}}}}
	later := []ryeford.Assignment{{Engine: "e", Pools: []ryeford.Pool{{Model: "lira"}}, Start: time.Unix(1, 0)}}
	psalm := []ryeford.Assignment{{Engine: "e", Pools: []ryeford.Pool{{Model: "psalm"}}}}
	for _, test := range []struct {
		name    string
		current *ryeford.Plan
		next    []ryeford.Assignment
		want    bool
	}{
		{"the first", nil, lira, true},
		{"nothing to place", nil, nil, false},
		{"nothing left to place", &ryeford.Plan{Assignments: lira}, nil, false},
		{"the same", &ryeford.Plan{Assignments: lira}, lira, false},
		{"another start time", &ryeford.Plan{Assignments: lira}, later, false},
		{"another model", &ryeford.Plan{Assignments: lira}, psalm, true},
		{"one more engine", &ryeford.Plan{Assignments: lira}, append(lira[:1:1], psalm...), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, shouldPublish(test.current, test.next), test.want)
		})
	}
}
