// Package placement decides which engines serve which pools, and from when they
// load them.
//
// It is a pure function of its input, does no I/O and owns no state: the router that
// holds the planner's lease calls it. A plan is made in four steps, a file each: how
// many engines each base model gets (demand.go), which (choose.go), which of a base's
// pools each of them serves (pools.go), and when it loads them (schedule.go).
package placement

import (
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
	demands := collect(in)
	if len(demands) == 0 || len(in.Engines) == 0 {
		return &Output{}
	}
	apportion(demands, len(in.Engines))
	chosen := choose(in.Engines, demands)
	pools := assignPools(in.Engines, demands, chosen)
	return schedule(in, chosen, pools)
}
