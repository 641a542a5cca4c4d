package router

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/placement"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/settings"
)

// testAgent returns an agent with one engine.
func testAgent(vm ryeford.VMID, model string) *agent {
	return &agent{
		vm: ryeford.VM{ID: vm, Role: ryeford.RoleAgent, State: ryeford.VMLive},
		inventory: &wire.Inventory{VM: vm, FailureDomain: "zone-" + string(vm), Engines: []wire.EngineState{
			{ID: ryeford.EngineID(vm + ".1"), Pools: []ryeford.Pool{{Model: model}}},
		}},
	}
}

// TestFlappingAgentKeepsPlacement checks that a flapping agent causes no moves, and that
// the engines of a lost agent count until planner.patience has elapsed.
func TestFlappingAgentKeepsPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &planner{engines: make(recentEngines), sharedState: &sharedState{
			settings:      settings.DefaultRouter(),
			templateCache: newTestRouter().templateCache,
			fleet:         newFleet(),
			plan:          plan.NewTracker(),
		}}
		lost := testAgent("endpoint-1", "lira")
		p.fleet.put(lost)
		p.fleet.put(testAgent("endpoint-2", "lira"))
		engines := func() int { return len(p.input().Engines) }
		assert.Equal(t, engines(), 2)
		for range 2 {
			p.fleet.remove("endpoint-1", nil)
			time.Sleep(20 * time.Second)
			assert.Equal(t, engines(), 2)
			p.fleet.put(lost)
			assert.Equal(t, engines(), 2)
		}
		assert.Equal(t, placement.Plan(p.input()).Moves, 0)
		p.fleet.remove("endpoint-1", nil)
		time.Sleep(31 * time.Second)
		assert.Equal(t, engines(), 1)

		// The engines of a leaving agent don't count any more.
		leaving := *lost
		leaving.inventory = &wire.Inventory{VM: "endpoint-1", Leaving: true, Engines: lost.inventory.Engines}
		p.fleet.put(lost)
		assert.Equal(t, engines(), 2)
		p.fleet.put(&leaving)
		assert.Equal(t, engines(), 1)
	})
}
