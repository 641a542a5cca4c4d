package replay

import (
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/standin"
)

// skewFloor is the mean load, in requests, from which the skew counts: below it,
// one request more or less is a large part of the mean. It equals the default of the
// agents' floor, up to which they take requests however low the mean.
const skewFloor = 4

// A chatOutcome counts the turns of a chat.
type chatOutcome struct {
	turns         int
	notRun        int // whose every answer says that they have not run
	notRepeatable int // that must not run more than once
}

// addChat adds how a turn of a chat ended. notRun says that every answer to it stated
// that it had not run: after one that did not, it may have run all the same.
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

// addRuns compares what the engines ran with what callers were answered. The engines
// may have run earlier traces, before began: those count in no load.
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
	engine int // its index
	by     int // 1 or -1
}

// admittedAt returns when a run began to count in the load of its engine: as its agent
// admitted it, or as it came if that is not known. The bound is kept at the admission, and
// a run may come much later on a busy machine, when other engines have ended theirs. A run
// that was on its way counts, as it does at the agent.
func admittedAt(run *standin.RunRecord) time.Time {
	if run.Admitted.IsZero() || run.Admitted.After(run.At) {
		return run.At
	}
	return run.Admitted
}

// addLoads adds the loads of the engines from began on, and their skews while the mean
// is at or above the floor. An earlier trace may have been played to more engines, and
// its skews over the mean of these would say nothing.
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
	var admitted []float64 // load over mean, as runs were admitted
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
