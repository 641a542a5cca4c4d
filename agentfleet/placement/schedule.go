package placement

import (
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// A move is an assignment that makes an engine load a model or an adapter.
type move struct {
	assignment *ryeford.Assignment
	begin      time.Time // of its event, or zero if it is due now
}

// schedule turns the chosen engines into assignments. Loads for an event start as late
// as possible, the others start now. The number of concurrent loads stays within the
// weight store's limit.
func schedule(in *Input, chosen map[ryeford.EngineID]*demand, pools map[ryeford.EngineID][]ryeford.Pool) *Output {
	// Moves point into the assignments, so the slice must not be reallocated.
	out := &Output{Assignments: make([]ryeford.Assignment, 0, len(in.Engines))}
	var moves []move
	for _, e := range in.Engines {
		d := chosen[e.ID]
		if d == nil {
			continue
		}
		out.Assignments = append(out.Assignments, ryeford.Assignment{Engine: e.ID, VM: e.VM, Pools: pools[e.ID], Reason: reasonKeep})
		a := &out.Assignments[len(out.Assignments)-1]
		if !slices.Equal(e.Pools, a.Pools) {
			a.Reason = reasonMove
			moves = append(moves, move{assignment: a, begin: d.begin})
		}
	}
	setLatestStarts(in, moves)
	out.Moves = len(moves)
	out.Late = clampStarts(in, moves)
	return out
}

// latestStart returns when a move must start if no other load competes with it.
func (in *Input) latestStart(m move) time.Time {
	if m.begin.IsZero() {
		return in.Now
	}
	return m.begin.Add(-in.WarmUpLead - in.LoadTime)
}

// setLatestStarts sets the latest start from which each load ends in time, working back
// from the begin of the events. A start may be in the past.
func setLatestStarts(in *Input, moves []move) {
	slices.SortStableFunc(moves, func(a, b move) int { return in.latestStart(b).Compare(in.latestStart(a)) })
	starts := make([]time.Time, 0, in.ParallelLoads) // of the concurrent loads
	for _, m := range moves {
		start := in.latestStart(m)
		if len(starts) == in.ParallelLoads {
			// This load must end before the latest of these starts.
			last := slices.MaxFunc(starts, time.Time.Compare)
			at := slices.Index(starts, last)
			starts = slices.Delete(starts, at, at+1)
			start = slices.MinFunc([]time.Time{start, last.Add(-in.LoadTime)}, time.Time.Compare)
		}
		starts = append(starts, start)
		m.assignment.Start = start
	}
}

// clampStarts moves starts in the past to now, in the order of their events and within
// the weight store's rate. It returns how many loads end late.
func clampStarts(in *Input, moves []move) int {
	slices.SortStableFunc(moves, func(a, b move) int { return a.assignment.Start.Compare(b.assignment.Start) })
	ends := make([]time.Time, in.ParallelLoads) // of the concurrent loads
	late := 0
	for _, m := range moves {
		earliest := slices.Index(ends, slices.MinFunc(ends, time.Time.Compare))
		start := slices.MaxFunc([]time.Time{m.assignment.Start, in.Now, ends[earliest]}, time.Time.Compare)
		m.assignment.Start = start
		ends[earliest] = start.Add(in.LoadTime)
		if !m.begin.IsZero() && ends[earliest].After(m.begin) {
			late++
		}
	}
	return late
}
