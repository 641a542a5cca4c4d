package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/placement"
)

// Which engines a plan is made for.
//
// An engine counts while its agent is connected, and for planner.patience after its
// connection was lost, so that a VM that flaps, or a router that starts, moves nothing.
// An engine of a VM that is leaving does not count from then on. What the current plan
// says of an engine counts as what it serves: a load that is under way is kept.

// recentEngines are the engines whose agents are connected, or were a short while ago.
type recentEngines map[ryeford.EngineID]recentEngine

// A recentEngine is an engine as it was when its agent was connected last.
type recentEngine struct {
	engine placement.Engine
	at     time.Time
}

// update takes the engines that are connected now and drops those that count no more.
// It returns those that count, ordered by id.
func (r recentEngines) update(now time.Time, connected []placement.Engine, leaving map[ryeford.VMID]bool, patience time.Duration) []placement.Engine {
	for _, e := range connected {
		r[e.ID] = recentEngine{engine: e, at: now}
	}
	var engines []placement.Engine
	for id, e := range r {
		if leaving[e.engine.VM] || now.Sub(e.at) > patience {
			delete(r, id)
			continue
		}
		engines = append(engines, e.engine)
	}
	slices.SortFunc(engines, func(a, b placement.Engine) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

// placeable returns the model engines of connected agents, with what they serve or are
// to serve by the plan, and the VMs that are leaving. Instances of plain services are
// not placed.
func placeable(agents []*agent, plan *ryeford.Plan) (engines []placement.Engine, leaving map[ryeford.VMID]bool) {
	planned := make(map[ryeford.EngineID][]ryeford.Pool)
	if plan != nil {
		for _, a := range plan.Assignments {
			planned[a.Engine] = a.Pools
		}
	}
	leaving = make(map[ryeford.VMID]bool)
	for _, a := range agents {
		if a.leaving() {
			leaving[a.vm.ID] = true
			continue
		}
		for _, e := range a.inventory.Engines {
			if e.Service != "" {
				continue
			}
			pools, ok := planned[e.ID]
			if !ok {
				pools = e.Pools
			}
			engines = append(engines, placement.Engine{ID: e.ID, VM: a.vm.ID, Domain: a.inventory.FailureDomain, Pools: pools})
		}
	}
	return engines, leaving
}
