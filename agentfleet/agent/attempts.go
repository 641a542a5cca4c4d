package agent

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// attempts remembers which attempts were admitted here and which were given up.
// The rules are in attemptrules.go.
type attempts struct {
	keep time.Duration // how long a finished answer is kept
	skew time.Duration // by how much the clock may step back

	mu         sync.Mutex
	runs       map[ryeford.AttemptID]*run
	admitted   map[ryeford.AttemptID]time.Time // until when they are remembered
	tombstones map[ryeford.AttemptID]time.Time // until when they are remembered
}

// newAttempts returns an attempts that remembers none.
func newAttempts(keep, skew time.Duration) *attempts {
	return &attempts{
		keep:       keep,
		skew:       skew,
		runs:       make(map[ryeford.AttemptID]*run),
		admitted:   make(map[ryeford.AttemptID]time.Time),
		tombstones: make(map[ryeford.AttemptID]time.Time),
	}
}

// state returns what is remembered of an attempt, and its run if that is kept.
// The caller holds a.mu.
func (a *attempts) state(id ryeford.AttemptID) (attemptState, *run) {
	if r, ok := a.runs[id]; ok {
		return attemptKept, r
	}
	if _, ok := a.admitted[id]; ok {
		return attemptRan, nil
	}
	if _, ok := a.tombstones[id]; ok {
		return attemptTombstone, nil
	}
	return attemptUnseen, nil
}

// admit adds the run that decide returns, if the attempt may be admitted and
// decide returns one. Otherwise it returns the run that was admitted under the
// same attempt before, if any, and the reason; the reason is empty if decide
// returned none.
func (a *attempts) admit(now time.Time, d *wire.Dispatch, decide func() *run) (*run, ryeford.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, earlier := a.state(d.Attempt)
	if reason := mayAdmit(state, now, d.Expires); reason != "" {
		return earlier, reason
	}
	r := decide()
	if r == nil {
		return nil, ""
	}
	a.runs[d.Attempt] = r
	a.admitted[d.Attempt] = rememberUntil(d.Expires, d.Forget, a.skew)
	return r, ""
}

// settle answers a join, with the run if it is kept. If the attempt did not run,
// it leaves a tombstone, so that a dispatch that is still under way is refused.
func (a *attempts) settle(now time.Time, j *wire.Join) (*run, verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, r := a.state(j.Attempt)
	v := judge(state, now, j.Expires, j.Forget, j.Peek)
	if v == verdictNotRun {
		a.tombstones[j.Attempt] = tombstoneUntil(j.Expires, a.skew)
	}
	return r, v
}

// finished drops a finished run's answer after keep.
func (a *attempts) finished(r *run) {
	time.AfterFunc(a.keep, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.runs, r.dispatch.Attempt)
	})
}

// sweep forgets what need not be remembered any more.
func (a *attempts) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, known := range []map[ryeford.AttemptID]time.Time{a.admitted, a.tombstones} {
		for id, until := range known {
			if now.After(until) {
				delete(known, id)
			}
		}
	}
}

// unfinished returns how many runs have not finished.
func (a *attempts) unfinished() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, r := range a.runs {
		if !r.log.Finished() {
			count++
		}
	}
	return count
}
