package replay

import (
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/standin"
)

// skewFloor is the minimum mean load, in requests, at which the skew is evaluated. Below it, a
// single request is a large part of the mean. It equals the default of the agents' floor: up to
// that load, agents admit requests at any skew.
const skewFloor = 4

// A chatOutcome counts the turns of a chat.
type chatOutcome struct {
	turns         int
	notRun        int // turns that every answer reported as not run
	notRepeatable int // turns that must not run more than once
}

// addChat adds the result of a turn of a chat. notRun means that every answer to it stated that
// it had not run. A turn with any other answer may have run.
func (r *Report) addChat(chat ryeford.ChatID, notRepeatable, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.chats[chat]
	o.turns++
	if notRepeatable {
		o.notRepeatable++
	}
	if notRun {
		o.notRun++
	}
	r.chats[chat] = o
}

// addRuns compares the runs of the engines with the answers that callers received. The engines
// may have runs of earlier traces, before began. Those don't count in the loads.
func (r *Report) addRuns(engines [][]standin.RunRecord, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := make(map[ryeford.ChatID]int)
	for _, runs := range engines {
		for i := range runs {
			ran[ryeford.ChatID(runs[i].Chat)]++
		}
	}
	for chat, o := range r.chats {
		if o.notRun == o.turns {
			r.RanRefused += ran[chat]
		}
		if o.notRepeatable == o.turns && ran[chat] > o.turns {
			r.DoubleRuns += ran[chat] - o.turns
		}
	}
	r.addLoads(engines, began)
}

// A change is the admission or the end of a run at an engine.
type change struct {
	at     time.Time
	engine int // index of the engine
	by     int // 1 or -1
}

// admittedAt returns the time from which a run counts in the load of its engine: its admission by
// the agent, or its arrival at the engine if the admission is unknown. Agents enforce the load
// limit at admission and count runs in transit. On a busy machine the run may arrive much later.
func admittedAt(run *standin.RunRecord) time.Time {
	if run.Admitted.IsZero() || run.Admitted.After(run.At) {
		return run.At
	}
	return run.Admitted
}

// addLoads adds the peak load since began, and the skews at times when the mean load is at least
// skewFloor. Loads before began are ignored: an earlier trace may have used more engines, so that
// the mean of these engines would be wrong.
func (r *Report) addLoads(engines [][]standin.RunRecord, began time.Time) {
	var changes []change
	for engine, runs := range engines {
		for i := range runs {
			changes = append(changes, change{at: admittedAt(&runs[i]), engine: engine, by: 1})
			if !runs[i].End.IsZero() {
				changes = append(changes, change{at: runs[i].End, engine: engine, by: -1})
			}
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	var admitted []float64 // ratio of load to mean load at each admission
	loads := make([]int, len(engines))
	total := 0
	for _, c := range changes {
		loads[c.engine] += c.by
		total += c.by
		if c.at.Before(began) {
			continue
		}
		busiest := slices.Max(loads)
		r.Peak = max(r.Peak, busiest)
		mean := float64(total) / float64(len(engines))
		if mean < skewFloor {
			continue
		}
		r.Skew = max(r.Skew, float64(busiest)/mean)
		if c.by > 0 {
			admitted = append(admitted, float64(loads[c.engine])/mean)
		}
	}
	if len(admitted) > 0 {
		slices.Sort(admitted)
		r.AdmitSkew = admitted[len(admitted)-1]
		r.AdmitSkewP99 = admitted[len(admitted)*99/100]
	}
}
