// Package placement decides which engines serve which pools, and from when they
// load them. It is a pure function of its input and does no I/O.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// An Engine is an engine that can be placed on.
type Engine struct {
	ID     ryeford.EngineID
	VM     ryeford.VMID
	Domain string
	// Pools is what the engine serves, or was told to serve, now.
	Pools []ryeford.Pool
}

// An Input is all that a plan depends on.
type Input struct {
	Now       time.Time
	Templates []ryeford.Template
	Engines   []Engine
	// LoadTime is how long one load takes, ParallelLoads how many go on at
	// once under the weight store's rate.
	LoadTime      time.Duration
	ParallelLoads int
	// Ahead is how long before its begin an event is to be warm.
	Ahead time.Duration
}

// An Output is a plan and how well it does.
type Output struct {
	Assignments []ryeford.Assignment
	// Moves counts the engines that are to serve something new.
	Moves int
	// Late counts the moves that can't end before their event.
	Late int
}

// A base is what an engine loads as a whole: a model and its version. Adapters
// are added to it.
type base struct {
	model, version string
}

// A demand is what the templates ask of one base.
type demand struct {
	base  base
	share float64
	begin time.Time // of the first event that needs more than runs now
	pools map[ryeford.Pool]float64
	want  int
}

// Plan returns the assignments for an input. Engines keep what they serve where
// they can.
func Plan(in *Input) *Output {
	demands := collect(in)
	if len(demands) == 0 || len(in.Engines) == 0 {
		return &Output{}
	}
	apportion(demands, len(in.Engines))
	chosen := choose(in, demands)
	return schedule(in, demands, chosen)
}

// horizon returns from when an event's template counts.
func (in *Input) horizon() time.Duration {
	rounds := (len(in.Engines) + in.ParallelLoads - 1) / in.ParallelLoads
	return in.Ahead + time.Duration(rounds)*in.LoadTime
}

// collect returns the demands of the templates that are in force, or that begin
// so soon that their engines must load.
func collect(in *Input) []*demand {
	byBase := make(map[base]*demand)
	for i := range in.Templates {
		t := &in.Templates[i]
		if t.Begin.After(in.Now.Add(in.horizon())) {
			continue
		}
		b := base{model: t.Model, version: t.ModelTag}
		d, ok := byBase[b]
		if !ok {
			d = &demand{base: b, pools: make(map[ryeford.Pool]float64)}
			byBase[b] = d
		}
		d.share += t.Share
		d.pools[t.Pool()] += t.Share
		if t.Begin.After(in.Now) && (d.begin.IsZero() || t.Begin.Before(d.begin)) {
			d.begin = t.Begin
		}
	}
	demands := make([]*demand, 0, len(byBase))
	for _, d := range byBase {
		demands = append(demands, d)
	}
	slices.SortFunc(demands, func(a, b *demand) int {
		return cmp.Or(cmp.Compare(a.base.model, b.base.model), cmp.Compare(a.base.version, b.base.version))
	})
	return demands
}

// apportion divides the engines by share, with at least one for each demand
// while there are enough, and the rest by largest remainder.
func apportion(demands []*demand, engines int) {
	total := 0.0
	for _, d := range demands {
		total += d.share
	}
	left := engines
	for _, d := range demands {
		d.want = max(1, int(math.Floor(float64(engines)*d.share/total)))
		left -= d.want
	}
	byRemainder := slices.Clone(demands)
	slices.SortStableFunc(byRemainder, func(a, b *demand) int {
		return cmp.Compare(owed(b, engines, total), owed(a, engines, total))
	})
	for i := 0; left > 0; i = (i + 1) % len(byRemainder) {
		byRemainder[i].want++
		left--
	}
	for left < 0 {
		largest := slices.MaxFunc(demands, func(a, b *demand) int { return cmp.Compare(a.want, b.want) })
		largest.want--
		left++
	}
}

// owed returns by how much a demand's due exceeds what it got.
func owed(d *demand, engines int, total float64) float64 {
	return float64(engines)*d.share/total - float64(d.want)
}

// choose gives each demand its engines: first those that serve it already, then
// others, spread over failure domains.
func choose(in *Input, demands []*demand) map[ryeford.EngineID]*demand {
	chosen := make(map[ryeford.EngineID]*demand)
	have := make(map[*demand]int)
	for i := range in.Engines {
		e := &in.Engines[i]
		for _, d := range demands {
			if have[d] < d.want && serves(e, d.base) {
				chosen[e.ID] = d
				have[d]++
				break
			}
		}
	}
	for _, d := range demands {
		for have[d] < d.want {
			e := pick(in, d, chosen)
			if e == nil {
				break
			}
			chosen[e.ID] = d
			have[d]++
		}
	}
	return chosen
}

// pick returns a free engine for a demand, of the failure domain that has the
// fewest of its engines; of those, the first by rendezvous.
func pick(in *Input, d *demand, chosen map[ryeford.EngineID]*demand) *Engine {
	inDomain := make(map[string]int)
	for i := range in.Engines {
		if chosen[in.Engines[i].ID] == d {
			inDomain[in.Engines[i].Domain]++
		}
	}
	var best *Engine
	for i := range in.Engines {
		e := &in.Engines[i]
		if chosen[e.ID] != nil {
			continue
		}
		if best == nil || inDomain[e.Domain] < inDomain[best.Domain] {
			best = e
		}
	}
	return best
}

// serves reports whether an engine has a base loaded.
func serves(e *Engine, b base) bool {
	return slices.ContainsFunc(e.Pools, func(p ryeford.Pool) bool {
		return p.Model == b.model && p.Version == b.version
	})
}

// schedule turns the choice into assignments. Moves for an event start as late
// as its begin allows; the others start now. No more loads than the weight
// store carries go on at once.
func schedule(in *Input, demands []*demand, chosen map[ryeford.EngineID]*demand) *Output {
	out := &Output{}
	var moves []*ryeford.Assignment
	begin := make(map[ryeford.EngineID]time.Time)
	pools := adapters(in, demands, chosen)
	for i := range in.Engines {
		e := &in.Engines[i]
		d := chosen[e.ID]
		if d == nil {
			continue
		}
		out.Assignments = append(out.Assignments, ryeford.Assignment{Engine: e.ID, VM: e.VM, Pools: pools[e.ID], Reason: "keep"})
		a := &out.Assignments[len(out.Assignments)-1]
		if !slices.Equal(e.Pools, a.Pools) {
			a.Reason = "move"
			begin[e.ID] = d.begin
		}
	}
	for i := range out.Assignments {
		if out.Assignments[i].Reason == "move" {
			moves = append(moves, &out.Assignments[i])
		}
	}
	out.Moves = len(moves)
	out.Late = setStarts(in, moves, begin)
	return out
}

// setStarts gives each move the latest start from which its load is done in
// time, working back from the events' begins, and returns how many are late.
func setStarts(in *Input, moves []*ryeford.Assignment, begin map[ryeford.EngineID]time.Time) int {
	latest := func(a *ryeford.Assignment) time.Time {
		if b := begin[a.Engine]; !b.IsZero() {
			return b.Add(-in.Ahead - in.LoadTime)
		}
		return in.Now
	}
	slices.SortStableFunc(moves, func(a, b *ryeford.Assignment) int { return latest(b).Compare(latest(a)) })
	lanes := make([]time.Time, 0, in.ParallelLoads)
	for _, a := range moves {
		start := latest(a)
		if len(lanes) == in.ParallelLoads {
			// The lane that is needed last may end its load right before.
			free := slices.MaxFunc(lanes, func(x, y time.Time) int { return x.Compare(y) })
			lanes = slices.Delete(lanes, slices.Index(lanes, free), slices.Index(lanes, free)+1)
			if limit := free.Add(-in.LoadTime); limit.Before(start) {
				start = limit
			}
		}
		lanes = append(lanes, start)
		a.Start = start
	}
	return clip(in, moves, begin)
}

// clip moves starts that lie in the past to now, in the order of their events
// and under the weight store's rate, and returns how many loads end late.
func clip(in *Input, moves []*ryeford.Assignment, begin map[ryeford.EngineID]time.Time) int {
	slices.SortStableFunc(moves, func(a, b *ryeford.Assignment) int { return a.Start.Compare(b.Start) })
	lanes := make([]time.Time, in.ParallelLoads)
	late := 0
	for _, a := range moves {
		lane := 0
		for i := range lanes {
			if lanes[i].Before(lanes[lane]) {
				lane = i
			}
		}
		for _, earliest := range []time.Time{in.Now, lanes[lane]} {
			if a.Start.Before(earliest) {
				a.Start = earliest
			}
		}
		lanes[lane] = a.Start.Add(in.LoadTime)
		if b := begin[a.Engine]; !b.IsZero() && lanes[lane].After(b) {
			late++
		}
	}
	return late
}

// adapters returns the pools of each chosen engine: every pool of its demand
// whose share asks for it there. A pool is on as many of the demand's engines
// as its part of the demand, chosen by rendezvous.
func adapters(in *Input, demands []*demand, chosen map[ryeford.EngineID]*demand) map[ryeford.EngineID][]ryeford.Pool {
	pools := make(map[ryeford.EngineID][]ryeford.Pool)
	for _, d := range demands {
		var targets []route.Target
		for i := range in.Engines {
			if e := &in.Engines[i]; chosen[e.ID] == d {
				targets = append(targets, route.Target{Engine: e.ID, VM: e.VM, Domain: e.Domain})
			}
		}
		for _, pool := range sortedPools(d) {
			for _, id := range poolEngines(targets, pool, d) {
				pools[id] = append(pools[id], pool)
			}
		}
	}
	return pools
}

// sortedPools returns a demand's pools in a fixed order.
func sortedPools(d *demand) []ryeford.Pool {
	pools := make([]ryeford.Pool, 0, len(d.pools))
	for p := range d.pools {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b ryeford.Pool) int { return cmp.Compare(a.String(), b.String()) })
	return pools
}

// spareFactor is how many times its due number of engines a pool gets, so that
// a surge of its account finds room.
const spareFactor = 2

// minPoolEngines is the least number of engines for a pool.
const minPoolEngines = 2

// poolEngines returns the engines that serve a pool.
func poolEngines(targets []route.Target, pool ryeford.Pool, d *demand) []ryeford.EngineID {
	due := int(math.Ceil(float64(len(targets)) * d.pools[pool] / d.share))
	count := min(max(spareFactor*due, minPoolEngines), len(targets))
	ranked := slices.Clone(targets)
	slices.SortFunc(ranked, func(a, b route.Target) int {
		return cmp.Compare(route.Score(pool.String(), b.Engine), route.Score(pool.String(), a.Engine))
	})
	ids := make([]ryeford.EngineID, count)
	for i := range ids {
		ids[i] = ranked[i].Engine
	}
	return ids
}
