package agent

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// attempts knows which attempts were admitted here and which never will be.
// What it says of an attempt is the proof behind "not run".
//
// An attempt is admitted at most once: its id is kept until the dispatch's
// Forget, and a dispatch is refused after its Expires, which is earlier.
type attempts struct {
	keep time.Duration // how long a finished answer stays
	skew time.Duration // by how much the clock may step back

	mu         sync.Mutex
	runs       map[ryeford.AttemptID]*run
	admitted   map[ryeford.AttemptID]time.Time // until when it is kept
	tombstones map[ryeford.AttemptID]time.Time // until when it is kept
}

// newAttempts returns an attempts that knows of none.
func newAttempts(keep, skew time.Duration) *attempts {
	return &attempts{
		keep:       keep,
		skew:       skew,
		runs:       make(map[ryeford.AttemptID]*run),
		admitted:   make(map[ryeford.AttemptID]time.Time),
		tombstones: make(map[ryeford.AttemptID]time.Time),
	}
}

// admit adds a run if decide allows it. It returns the run that was admitted
// under the same attempt before, or the reason why there can be none.
func (a *attempts) admit(now time.Time, d *wire.Dispatch, decide func() *run) (r *run, reason ryeford.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if earlier, ok := a.runs[d.Attempt]; ok {
		return earlier, ryeford.ReasonDuplicate
	}
	if _, ok := a.admitted[d.Attempt]; ok {
		return nil, ryeford.ReasonDuplicate
	}
	if _, ok := a.tombstones[d.Attempt]; ok {
		return nil, ryeford.ReasonTombstone
	}
	if now.After(d.Expires) {
		return nil, ryeford.ReasonExpired
	}
	r = decide()
	if r == nil {
		return nil, ""
	}
	a.runs[d.Attempt] = r
	a.admitted[d.Attempt] = later(d.Forget, d.Expires).Add(a.skew)
	return r, ""
}

// settle says what is known of an attempt. Where it did not run, it leaves a
// tombstone, so that a dispatch that is still under way is refused.
func (a *attempts) settle(now time.Time, j *wire.Join) (*run, verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r, ok := a.runs[j.Attempt]; ok {
		return r, verdictRuns
	}
	if _, ok := a.admitted[j.Attempt]; ok {
		return nil, verdictRan
	}
	if now.After(later(j.Forget, j.Expires)) {
		return nil, verdictUnknown
	}
	if j.Peek && !now.After(j.Expires) {
		return nil, verdictNotYet
	}
	a.tombstones[j.Attempt] = j.Expires.Add(a.skew)
	return nil, verdictNotRun
}

// finished drops a finished run's answer after a while.
func (a *attempts) finished(r *run) {
	time.AfterFunc(a.keep, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.runs, r.dispatch.Attempt)
	})
}

// sweep forgets what need not be known any more.
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

// unfinished returns how many runs go on.
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
