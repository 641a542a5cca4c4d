package router

import (
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/load"
	"github.com/ryeford/ryeford/agentfleet/placement"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/route"
)

const (
	meanWindow = time.Second
	skewWindow = 10 * time.Second // of loads, for the skew that is shown
)

// A peer is an agent that this router is connected to.
type agent struct {
	vm        ryeford.VM
	conn      *transport.Conn
	inventory *wire.Inventory
}

// A fleet is what the router knows of the agents and their engines.
type fleet struct {
	mu       sync.RWMutex
	agents   map[ryeford.VMID]*agent
	pools    map[ryeford.Pool]*route.Set
	services map[string]*route.Set
	engines  map[ryeford.EngineID]*agent

	meanMu    sync.Mutex
	means     map[string]*load.Mean // by model
	lastLoads map[ryeford.EngineID]engineLoad
}

// An engineLoad is the load that an engine showed last.
type engineLoad struct {
	at    time.Time
	model string
	load  float64
}

// newFleet returns a fleet without agents.
func newFleet() *fleet {
	return &fleet{
		agents:    make(map[ryeford.VMID]*agent),
		engines:   make(map[ryeford.EngineID]*agent),
		means:     make(map[string]*load.Mean),
		lastLoads: make(map[ryeford.EngineID]engineLoad),
	}
}

// put notes what an agent says of itself.
func (f *fleet) put(p *agent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[p.vm.ID] = p
	f.rebuild()
}

// remove forgets an agent whose connection is lost.
func (f *fleet) remove(vm ryeford.VMID, conn *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.agents[vm]; ok && p.conn == conn {
		delete(f.agents, vm)
		f.rebuild()
	}
}

// setState notes what the platform's list says of a VM.
func (f *fleet) setState(vm ryeford.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.agents[vm.ID]; ok && p.vm != vm {
		changed := *p
		changed.vm = vm
		f.agents[vm.ID] = &changed
		f.rebuild()
	}
}

// rebuild makes the candidate sets anew. Agents that are leaving are in none.
func (f *fleet) rebuild() {
	pools := make(map[ryeford.Pool][]route.Target)
	services := make(map[string][]route.Target)
	f.engines = make(map[ryeford.EngineID]*agent)
	for _, id := range f.sortedVMs() {
		p := f.agents[id]
		for _, e := range p.inventory.Engines {
			f.engines[e.ID] = p
		}
		if p.inventory.Leaving || p.vm.State == ryeford.VMLeaving {
			continue
		}
		for _, e := range p.inventory.Engines {
			target := route.Target{Engine: e.ID, VM: id, Domain: p.inventory.FailureDomain}
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
	ids := make([]ryeford.VMID, 0, len(f.agents))
	for id := range f.agents {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// pool returns the engines that serve a pool.
func (f *fleet) pool(pool ryeford.Pool) *route.Set {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[pool]
}

// service returns the instances of a plain service.
func (f *fleet) service(name string) *route.Set {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.services[name]
}

// engine returns the agent of an engine.
func (f *fleet) engine(id ryeford.EngineID) (*agent, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p, ok := f.engines[id]
	return p, ok
}

// vm returns a connected agent.
func (f *fleet) vm(id ryeford.VMID) (*agent, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p, ok := f.agents[id]
	return p, ok
}

// domain returns the failure domain of a connected agent.
func (f *fleet) domain(id ryeford.VMID) string {
	p, ok := f.vm(id)
	if !ok {
		return ""
	}
	return p.inventory.FailureDomain
}

// all returns the connected agents in the order of their VMs.
func (f *fleet) all() []*agent {
	f.mu.RLock()
	defer f.mu.RUnlock()
	peers := make([]*agent, 0, len(f.agents))
	for _, id := range f.sortedVMs() {
		peers = append(peers, f.agents[id])
	}
	return peers
}

// reachable returns how many agents are connected.
func (f *fleet) reachable() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.agents)
}

// addLoad adds a sample of some engine's load.
func (f *fleet) addLoad(now time.Time, model string, value float64) {
	f.meanMu.Lock()
	defer f.meanMu.Unlock()
	f.meanOf(model).Add(now, value)
}

// addProbe adds the load that a request's candidate had.
func (f *fleet) addProbe(now time.Time, model string, engine ryeford.EngineID, probes *load.Probes, value float64) {
	f.meanMu.Lock()
	defer f.meanMu.Unlock()
	probes.Add(now, f.meanOf(model), value)
	f.lastLoads[engine] = engineLoad{at: now, model: model, load: value}
}

// probedMean returns the mean load of a model's engines, as a request that has
// asked candidates is to take it.
func (f *fleet) probedMean(now time.Time, model string, probes *load.Probes) float64 {
	f.meanMu.Lock()
	defer f.meanMu.Unlock()
	return probes.Mean(now, f.meanOf(model))
}

func (f *fleet) meanOf(model string) *load.Mean {
	m, ok := f.means[model]
	if !ok {
		m = load.NewMean(meanWindow)
		f.means[model] = m
	}
	return m
}

// skew returns the highest of the models' busiest engine over their mean, of
// the loads seen of late.
func (f *fleet) skew(now time.Time) float64 {
	f.meanMu.Lock()
	defer f.meanMu.Unlock()
	type total struct{ sum, count, busiest float64 }
	totals := make(map[string]total)
	for engine, s := range f.lastLoads {
		if now.Sub(s.at) > skewWindow {
			delete(f.lastLoads, engine)
			continue
		}
		t := totals[s.model]
		t.sum += s.load
		t.count++
		t.busiest = max(t.busiest, s.load)
		totals[s.model] = t
	}
	skew := 0.0
	for _, t := range totals {
		if t.sum > 0 {
			skew = max(skew, t.busiest*t.count/t.sum)
		}
	}
	return skew
}

// placeable returns the engines that can be placed on, and the VMs that are
// leaving. What a plan says of an engine counts as what it serves, so that a
// load that is under way is kept.
func (f *fleet) placeable(plan *ryeford.Plan) (engines []placement.Engine, leaving map[ryeford.VMID]bool) {
	planned := make(map[ryeford.EngineID][]ryeford.Pool)
	if plan != nil {
		for _, a := range plan.Assignments {
			planned[a.Engine] = a.Pools
		}
	}
	leaving = make(map[ryeford.VMID]bool)
	for _, p := range f.all() {
		if p.inventory.Leaving || p.vm.State == ryeford.VMLeaving {
			leaving[p.vm.ID] = true
			continue
		}
		for _, e := range p.inventory.Engines {
			if e.Service != "" {
				continue
			}
			pools, ok := planned[e.ID]
			if !ok {
				pools = e.Pools
			}
			engines = append(engines, placement.Engine{ID: e.ID, VM: p.vm.ID, Domain: p.inventory.FailureDomain, Pools: pools})
		}
	}
	return engines, leaving
}
