package placement

import (
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// A move is an assignment that makes an engine load something.
type move struct {
	assignment *ryeford.Assignment
	begin      time.Time // of the event that it is for, or zero if it is due now
}

// schedule turns the choice into assignments. Moves for an event start as late as its
// begin allows; the others start now. No more loads than the weight store carries go on
// at once.
func schedule(in *Input, chosen map[ryeford.EngineID]*demand, pools map[ryeford.EngineID][]ryeford.Pool) *Output {
	// Moves point into the assignments, so these must not grow beyond their capacity.
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

// latestStart returns when a move must start if nothing else loads.
func (in *Input) latestStart(m move) time.Time {
	if m.begin.IsZero() {
		return in.Now
	}
	return m.begin.Add(-in.Ahead - in.LoadTime)
}

// setLatestStarts gives each move the latest start from which its load is done in time,
// working back from the events' begins. A start may lie in the past.
func setLatestStarts(in *Input, moves []move) {
	slices.SortStableFunc(moves, func(a, b move) int { return in.latestStart(b).Compare(in.latestStart(a)) })
	starts := make([]time.Time, 0, in.ParallelLoads) // of the loads that go on at once
	for _, m := range moves {
		start := in.latestStart(m)
		if len(starts) == in.ParallelLoads {
			// This load ends before the latest of those starts.
			last := slices.MaxFunc(starts, time.Time.Compare)
			at := slices.Index(starts, last)
			starts = slices.Delete(starts, at, at+1)
			start = slices.MinFunc([]time.Time{start, last.Add(-in.LoadTime)}, time.Time.Compare)
		}
		starts = append(starts, start)
		m.assignment.Start = start
	}
}

// clampStarts moves starts that lie in the past to now, in the order of their events and under
// the weight store's rate, and returns how many loads end late.
func clampStarts(in *Input, moves []move) int {
	slices.SortStableFunc(moves, func(a, b move) int { return a.assignment.Start.Compare(b.assignment.Start) })
	ends := make([]time.Time, in.ParallelLoads) // of the loads that go on at once
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
