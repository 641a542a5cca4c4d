// Package placement decides which engines serve which pools, and when they start to
// load them.
//
// It is a pure function of its input, without I/O or state. The router that holds the
// planner's lease calls it. A plan is made in four steps: how many engines each base
// model gets (apportion), which ones (chooseEngines), which pools of the base model
// each of them serves (assignPools), and when it loads them (schedule).
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// An Engine is an engine that models can be placed on.
type Engine struct {
	ID     ryeford.EngineID
	VM     ryeford.VMID
	Domain string // failure domain
	// Pools is what the engine serves, or what the previous plan assigned to it.
	Pools []ryeford.Pool
}

// An Input is everything that a plan depends on.
type Input struct {
	Now       time.Time
	Templates []ryeford.Template
	Engines   []Engine // in a fixed order, which breaks ties
	// LoadTime is how long one load takes. ParallelLoads is how many loads the weight
	// store can feed at once. Both must be above zero.
	LoadTime      time.Duration
	ParallelLoads int
	// WarmUpLead is how long before the begin of an event its engines must be warm.
	WarmUpLead time.Duration
}

// An Output is a plan with its statistics.
type Output struct {
	// Assignments has one entry for each engine that is to serve a pool, in the order
	// of the input's engines.
	Assignments []ryeford.Assignment
	// Moves counts the engines whose pools change.
	Moves int
	// Late counts the loads that end after the begin of their event.
	Late int
}

// The reasons of assignments.
const (
	reasonKeep = "keep" // the engine already serves these pools
	reasonMove = "move"
)

// Plan returns the assignments for an input. Engines keep their pools where possible.
// Without templates or without engines the output is empty.
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

// A baseModel is a model and its version, which an engine loads as a whole. Adapters
// are added to it.
type baseModel struct {
	model, version string
}

// A demand is the sum of the templates of one base model.
type demand struct {
	base    baseModel
	share   float64   // sum of the templates' shares
	begin   time.Time // of the first event that has not begun yet, or zero
	pools   map[ryeford.Pool]float64
	engines int // number of engines to assign
}

// horizon returns how long before its begin a template is planned for: long enough to
// reload all engines at the weight store's rate.
func (in *Input) horizon() time.Duration {
	rounds := (len(in.Engines) + in.ParallelLoads - 1) / in.ParallelLoads
	return in.WarmUpLead + time.Duration(rounds)*in.LoadTime
}

// collectDemands returns the demands of the templates that are in force or begin within
// the horizon, ordered by base model.
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

// apportion divides the engines by share, using the largest remainder method. Each
// demand gets at least one engine, unless there are fewer engines than demands.
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

// remainder returns the difference between a demand's exact share of the engines and
// the number assigned to it.
func remainder(d *demand, engines int, total float64) float64 {
	return float64(engines)*d.share/total - float64(d.engines)
}
