package router

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/route"
)

// An agent is a connected agent with the inventory that it last sent. It is immutable
// once it is in a fleet.
type agent struct {
	vm        ryeford.VM
	conn      *transport.Conn
	inventory *wire.Inventory
}

// leaving reports whether the agent must get no new work, because it or the platform's
// list states that it is leaving.
func (a *agent) leaving() bool {
	return a.inventory.Leaving || a.vm.State == ryeford.VMLeaving
}

// A fleet holds the connected agents and their engines. The state of an agent is as old
// as the last message on its connection, and is removed with the connection.
type fleet struct {
	mu   sync.Mutex // held while view is replaced
	view atomic.Pointer[fleetView]
}

// A fleetView is an immutable snapshot of a fleet. Leaving agents and engines that are
// backing off are in no set of candidates. They are still found by engine, for answers
// in progress.
type fleetView struct {
	agents   map[ryeford.VMID]*agent
	engines  map[ryeford.EngineID]*agent
	pools    map[ryeford.Pool]*route.Set
	services map[string]*route.Set
}

func newFleet() *fleet {
	f := &fleet{}
	f.view.Store(newFleetView(make(map[ryeford.VMID]*agent)))
	return f
}

// put adds an agent or replaces its previous state.
func (f *fleet) put(a *agent) {
	f.update(func(agents map[ryeford.VMID]*agent) { agents[a.vm.ID] = a })
}

// remove removes an agent whose connection is lost, unless it has reconnected since.
func (f *fleet) remove(vm ryeford.VMID, conn *transport.Conn) {
	f.update(func(agents map[ryeford.VMID]*agent) {
		if a, ok := agents[vm]; ok && a.conn == conn {
			delete(agents, vm)
		}
	})
}

// setVM updates an agent with its VM's entry in the platform's list.
func (f *fleet) setVM(vm ryeford.VM) {
	if a, ok := f.agentByVM(vm.ID); !ok || a.vm == vm {
		return
	}
	f.update(func(agents map[ryeford.VMID]*agent) {
		if a, ok := agents[vm.ID]; ok {
			changed := *a
			changed.vm = vm
			agents[vm.ID] = &changed
		}
	})
}

// update replaces the view by one with changed agents.
func (f *fleet) update(apply func(agents map[ryeford.VMID]*agent)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	agents := maps.Clone(f.view.Load().agents)
	apply(agents)
	f.view.Store(newFleetView(agents))
}

func newFleetView(agents map[ryeford.VMID]*agent) *fleetView {
	v := &fleetView{agents: agents, engines: make(map[ryeford.EngineID]*agent)}
	pools := make(map[ryeford.Pool][]route.Target)
	services := make(map[string][]route.Target)
	for _, id := range slices.Sorted(maps.Keys(agents)) {
		a := agents[id]
		for _, e := range a.inventory.Engines {
			v.engines[e.ID] = a
			if a.leaving() {
				continue
			}
			var targets []route.Target // empty while the engine backs off; its pools and service stay known
			if !e.BackingOff {
				targets = []route.Target{{Engine: e.ID, VM: id, Domain: a.inventory.FailureDomain}}
			}
			for _, pool := range e.Pools {
				pools[pool] = append(pools[pool], targets...)
			}
			if e.Service != "" {
				services[e.Service] = append(services[e.Service], targets...)
			}
		}
	}
	v.pools = newSets(pools)
	v.services = newSets(services)
	return v
}

func newSets[K comparable](targets map[K][]route.Target) map[K]*route.Set {
	sets := make(map[K]*route.Set, len(targets))
	for key, list := range targets {
		sets[key] = route.NewSet(list)
	}
	return sets
}

// pool returns the engines that serve a pool, or nil.
func (f *fleet) pool(pool ryeford.Pool) *route.Set { return f.view.Load().pools[pool] }

// service returns the instances of a plain service, or nil.
func (f *fleet) service(name string) *route.Set { return f.view.Load().services[name] }

func (f *fleet) agentOfEngine(id ryeford.EngineID) (*agent, bool) {
	a, ok := f.view.Load().engines[id]
	return a, ok
}

// candidate returns an engine as a candidate if its agent is connected.
func (f *fleet) candidate(id ryeford.EngineID) (claim.Candidate, bool) {
	a, ok := f.agentOfEngine(id)
	if !ok {
		return claim.Candidate{}, false
	}
	return claim.Candidate{Engine: id, VM: a.vm.ID, Incarnation: a.inventory.Incarnation}, true
}

func (f *fleet) agentByVM(id ryeford.VMID) (*agent, bool) {
	a, ok := f.view.Load().agents[id]
	return a, ok
}

// domain returns the failure domain of a connected agent, or an empty string.
func (f *fleet) domain(id ryeford.VMID) string {
	if a, ok := f.agentByVM(id); ok {
		return a.inventory.FailureDomain
	}
	return ""
}

// list returns the connected agents, ordered by VM ID.
func (f *fleet) list() []*agent {
	byVM := func(a, b *agent) int { return cmp.Compare(a.vm.ID, b.vm.ID) }
	return slices.SortedFunc(maps.Values(f.view.Load().agents), byVM)
}

// connectedCount returns how many agents are connected.
func (f *fleet) connectedCount() int { return len(f.view.Load().agents) }
