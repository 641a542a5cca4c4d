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
	seenWindow = 10 * time.Second // of loads, for the skew that is shown
)

// A peer is an agent that this router is connected to.
type peer struct {
	vm        ryeford.VM
	conn      *transport.Conn
	inventory *wire.Inventory
}

// A fleet is what the router knows of the agents and their engines.
type fleet struct {
	mu       sync.RWMutex
	peers    map[ryeford.VMID]*peer
	pools    map[ryeford.Pool]*route.Set
	services map[string]*route.Set
	engines  map[ryeford.EngineID]*peer

	meanMu sync.Mutex
	means  map[string]*load.Mean // by model
	seen   map[ryeford.EngineID]seenLoad
}

// A seenLoad is the load that an engine showed last.
type seenLoad struct {
	at    time.Time
	model string
	load  float64
}

// newFleet returns a fleet without agents.
func newFleet() *fleet {
	return &fleet{
		peers:   make(map[ryeford.VMID]*peer),
		engines: make(map[ryeford.EngineID]*peer),
		means:   make(map[string]*load.Mean),
		seen:    make(map[ryeford.EngineID]seenLoad),
	}
}

// put notes what an agent says of itself.
func (f *fleet) put(p *peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[p.vm.ID] = p
	f.rebuild()
}

// remove forgets an agent whose connection is lost.
func (f *fleet) remove(vm ryeford.VMID, conn *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.peers[vm]; ok && p.conn == conn {
		delete(f.peers, vm)
		f.rebuild()
	}
}

// setState notes what the platform's list says of a VM.
func (f *fleet) setState(vm ryeford.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.peers[vm.ID]; ok && p.vm != vm {
		changed := *p
		changed.vm = vm
		f.peers[vm.ID] = &changed
		f.rebuild()
	}
}

// rebuild makes the candidate sets anew. Agents that are leaving are in none.
func (f *fleet) rebuild() {
	pools := make(map[ryeford.Pool][]route.Target)
	services := make(map[string][]route.Target)
	f.engines = make(map[ryeford.EngineID]*peer)
	for _, id := range f.sortedVMs() {
		p := f.peers[id]
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
	ids := make([]ryeford.VMID, 0, len(f.peers))
	for id := range f.peers {
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
func (f *fleet) engine(id ryeford.EngineID) (*peer, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p, ok := f.engines[id]
	return p, ok
}

// vm returns a connected agent.
func (f *fleet) vm(id ryeford.VMID) (*peer, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	p, ok := f.peers[id]
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
func (f *fleet) all() []*peer {
	f.mu.RLock()
	defer f.mu.RUnlock()
	peers := make([]*peer, 0, len(f.peers))
	for _, id := range f.sortedVMs() {
		peers = append(peers, f.peers[id])
	}
	return peers
}

// reachable returns how many agents are connected.
func (f *fleet) reachable() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.peers)
}

// addLoad adds a sample of some engine's load.
func (f *fleet) addLoad(now time.Time, model string, value float64) {
	f.meanMu.Lock()
	defer f.meanMu.Unlock()
	f.meanOf(model).Add(now, value)
}

// addWalk adds the load that a request's candidate had.
func (f *fleet) addWalk(now time.Time, model string, engine ryeford.EngineID, walk *load.Walk, value float64) {
	f.meanMu.Lock()
	defer f.meanMu.Unlock()
	walk.Add(now, f.meanOf(model), value)
	f.seen[engine] = seenLoad{at: now, model: model, load: value}
}

// walkMean returns the mean load of a model's engines, as a request that has
// asked candidates is to take it.
func (f *fleet) walkMean(now time.Time, model string, walk *load.Walk) float64 {
	f.meanMu.Lock()
	defer f.meanMu.Unlock()
	return walk.Mean(now, f.meanOf(model))
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
	for engine, s := range f.seen {
		if now.Sub(s.at) > seenWindow {
			delete(f.seen, engine)
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
