package router

import (
	"maps"
	"slices"
	"sync"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/route"
)

// An agent is one that this router is connected to, as it described itself last. An
// agent is not changed once it is in a fleet.
type agent struct {
	vm        ryeford.VM
	conn      *transport.Conn
	inventory *wire.Inventory
}

// leaving reports whether new work must not go to the agent: it says so itself, or the
// platform's list does.
func (a *agent) leaving() bool {
	return a.inventory.Leaving || a.vm.State == ryeford.VMLeaving
}

// A fleet is what the router knows of the agents and their engines. What it holds of an
// agent is as old as the agent's last message on its connection, and goes with it.
type fleet struct {
	mu       sync.RWMutex
	agents   map[ryeford.VMID]*agent
	pools    map[ryeford.Pool]*route.Set
	services map[string]*route.Set
	engines  map[ryeford.EngineID]*agent
}

// newFleet returns a fleet without agents.
func newFleet() *fleet {
	return &fleet{
		agents:  make(map[ryeford.VMID]*agent),
		engines: make(map[ryeford.EngineID]*agent),
	}
}

// put keeps an agent, in place of what was known of it.
func (f *fleet) put(a *agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[a.vm.ID] = a
	f.rebuild()
}

// remove drops an agent whose connection is lost, unless it has another one by now.
func (f *fleet) remove(vm ryeford.VMID, conn *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := f.agents[vm]; ok && a.conn == conn {
		delete(f.agents, vm)
		f.rebuild()
	}
}

// setVM takes what the platform's list says of a VM.
func (f *fleet) setVM(vm ryeford.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := f.agents[vm.ID]; ok && a.vm != vm {
		changed := *a
		changed.vm = vm
		f.agents[vm.ID] = &changed
		f.rebuild()
	}
}

// rebuild makes the sets of candidates anew. Agents that are leaving are in none, but
// are still found by their engines, for answers that are under way.
func (f *fleet) rebuild() {
	pools := make(map[ryeford.Pool][]route.Target)
	services := make(map[string][]route.Target)
	f.engines = make(map[ryeford.EngineID]*agent)
	for _, id := range f.sortedVMs() {
		a := f.agents[id]
		for _, e := range a.inventory.Engines {
			f.engines[e.ID] = a
		}
		if a.leaving() {
			continue
		}
		for _, e := range a.inventory.Engines {
			target := route.Target{Engine: e.ID, VM: id, Domain: a.inventory.FailureDomain}
			for _, pool := range e.Pools {
				pools[pool] = append(pools[pool], target)
			}
			if e.Service != "" {
				services[e.Service] = append(services[e.Service], target)
			}
		}
	}
	f.pools = newSets(pools)
	f.services = newSets(services)
}

// newSets returns the sets of targets.
func newSets[K comparable](targets map[K][]route.Target) map[K]*route.Set {
	sets := make(map[K]*route.Set, len(targets))
	for key, list := range targets {
		sets[key] = route.NewSet(list)
	}
	return sets
}

func (f *fleet) sortedVMs() []ryeford.VMID {
	return slices.Sorted(maps.Keys(f.agents))
}

// pool returns the engines that serve a pool, or nil.
func (f *fleet) pool(pool ryeford.Pool) *route.Set {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[pool]
}

// service returns the instances of a plain service, or nil.
func (f *fleet) service(name string) *route.Set {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.services[name]
}

// engine returns the agent of an engine.
func (f *fleet) engine(id ryeford.EngineID) (*agent, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	a, ok := f.engines[id]
	return a, ok
}

// candidate returns an engine as a candidate, if its agent is connected.
func (f *fleet) candidate(id ryeford.EngineID) (claim.Candidate, bool) {
	a, ok := f.engine(id)
	if !ok {
		return claim.Candidate{}, false
	}
	return claim.Candidate{Engine: id, VM: a.vm.ID, Incarnation: a.inventory.Incarnation}, true
}

// vm returns the agent of a VM.
func (f *fleet) vm(id ryeford.VMID) (*agent, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	a, ok := f.agents[id]
	return a, ok
}

// domain returns the failure domain of a connected agent, or nothing.
func (f *fleet) domain(id ryeford.VMID) string {
	a, ok := f.vm(id)
	if !ok {
		return ""
	}
	return a.inventory.FailureDomain
}

// all returns the connected agents in the order of their VMs.
func (f *fleet) all() []*agent {
	f.mu.RLock()
	defer f.mu.RUnlock()
	agents := make([]*agent, 0, len(f.agents))
	for _, id := range f.sortedVMs() {
		agents = append(agents, f.agents[id])
	}
	return agents
}

// reachable returns how many agents are connected.
func (f *fleet) reachable() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.agents)
}
