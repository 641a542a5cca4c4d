// Package placement decides which engines serve which pools, and from when they
// load them.
//
// It is a pure function of its input, does no I/O and owns no state: the router that
// holds the planner's lease calls it. A plan is made in four steps: how many engines
// each base model gets (apportion), which (choose), which of a base's pools each of them
// serves (assignPools), and when it loads them (schedule).
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// An Engine is an engine that can be placed on.
type Engine struct {
	ID     ryeford.EngineID
	VM     ryeford.VMID
	Domain string // failure domain
	// Pools is what the engine serves, or is to serve by the plan before.
	Pools []ryeford.Pool
}

// An Input is all that a plan depends on.
type Input struct {
	Now       time.Time
	Templates []ryeford.Template
	Engines   []Engine // in a fixed order: it decides between equals
	// LoadTime is how long one load takes, ParallelLoads how many go on at
	// once under the weight store's rate. Both are above zero.
	LoadTime      time.Duration
	ParallelLoads int
	// Ahead is how long before its begin an event is to be warm.
	Ahead time.Duration
}

// An Output is a plan and how well it does.
type Output struct {
	// Assignments has one entry for each engine that is to serve something, in the
	// order of the input's engines.
	Assignments []ryeford.Assignment
	// Moves counts the engines that are to serve something else than now.
	Moves int
	// Late counts the moves that can't end before their event.
	Late int
}

// The reasons of assignments.
const (
	reasonKeep = "keep" // the engine serves the same already
	reasonMove = "move"
)

// Plan returns the assignments for an input. Engines keep what they serve if they can.
// Without templates or without engines there are none.
func Plan(in *Input) *Output {
	demands := collectDemands(in)
	if len(demands) == 0 || len(in.Engines) == 0 {
		return &Output{}
	}
	apportion(demands, len(in.Engines))
	chosen := chooseEngines(in.Engines, demands)
	pools := assignPools(in.Engines, demands, chosen)
	return schedule(in, chosen, pools)
}

// A baseModel is what an engine loads as a whole: a model and its version. Adapters
// are added to it.
type baseModel struct {
	model, version string
}

// A demand is what the templates ask of one base.
type demand struct {
	base    baseModel
	share   float64   // sum of the templates' shares
	begin   time.Time // of the first event that needs more than runs now, or zero
	pools   map[ryeford.Pool]float64
	engines int // how many engines it gets
}

// horizon returns how long before its begin a template counts: long enough that all
// engines can load anew, so many at once as the weight store allows.
func (in *Input) horizon() time.Duration {
	rounds := (len(in.Engines) + in.ParallelLoads - 1) / in.ParallelLoads
	return in.Ahead + time.Duration(rounds)*in.LoadTime
}

// collectDemands returns the demands of the templates that are in force, or that begin so soon
// that their engines must load now, ordered by base.
func collectDemands(in *Input) []*demand {
	byBase := make(map[baseModel]*demand)
	for _, t := range in.Templates {
		if t.Begin.After(in.Now.Add(in.horizon())) {
			continue
		}
		b := baseModel{model: t.Model, version: t.ModelTag}
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
	return slices.SortedFunc(maps.Values(byBase), func(a, b *demand) int {
		return cmp.Or(cmp.Compare(a.base.model, b.base.model), cmp.Compare(a.base.version, b.base.version))
	})
}

// apportion divides the engines by share, with at least one for each demand while there
// are enough, and the rest by largest remainder. If there are fewer engines than
// demands, the last ones get none.
func apportion(demands []*demand, engines int) {
	total := 0.0
	for _, d := range demands {
		total += d.share
	}
	unassigned := engines
	for _, d := range demands {
		d.engines = max(1, int(math.Floor(float64(engines)*d.share/total)))
		unassigned -= d.engines
	}
	byRemainder := slices.Clone(demands)
	slices.SortStableFunc(byRemainder, func(a, b *demand) int {
		return cmp.Compare(remainder(b, engines, total), remainder(a, engines, total))
	})
	for i := 0; unassigned > 0; i = (i + 1) % len(byRemainder) {
		byRemainder[i].engines++
		unassigned--
	}
	for unassigned < 0 {
		largest := slices.MaxFunc(demands, func(a, b *demand) int { return cmp.Compare(a.engines, b.engines) })
		largest.engines--
		unassigned++
	}
}

// remainder returns by how much a demand's part of the engines exceeds what it got.
func remainder(d *demand, engines int, total float64) float64 {
	return float64(engines)*d.share/total - float64(d.engines)
}
