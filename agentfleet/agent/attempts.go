package agent

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// attempts remembers which attempts were admitted here and which were given up.
type attempts struct {
	keep time.Duration // how long a finished answer is kept
	skew time.Duration // by how much the clock may step back

	mu         sync.Mutex
	runs       map[ryeford.AttemptID]*run
	admitted   map[ryeford.AttemptID]time.Time // until when they are remembered
	tombstones map[ryeford.AttemptID]time.Time // until when they are remembered
}

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

// admit decides on an attempt with admitAt, once it has the lock: the wait for it may
// last beyond the dispatch's expiry.
func (a *attempts) admit(d *wire.Dispatch, decide func(now time.Time) *run) (*run, ryeford.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admitAt(time.Now(), d, decide)
}

// admitAt adds the run that decide returns, if the attempt may be admitted and
// decide returns one. Otherwise it returns the run that was admitted under the
// same attempt before, if any, and the reason; the reason is empty if decide
// returned none. The caller holds a.mu.
func (a *attempts) admitAt(now time.Time, d *wire.Dispatch, decide func(now time.Time) *run) (*run, ryeford.Reason) {
	state, earlier := a.state(d.Attempt)
	if reason := mayAdmit(state, now, d.Expires); reason != "" {
		return earlier, reason
	}
	r := decide(now)
	if r == nil {
		return nil, ""
	}
	a.runs[d.Attempt] = r
	a.admitted[d.Attempt] = rememberUntil(d.Expires, d.Forget, a.skew)
	return r, ""
}

// settle answers a join with settleAt, once it has the lock: an admission may be
// forgotten while it waits.
func (a *attempts) settle(j *wire.Join) (*run, verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.settleAt(time.Now(), j)
}

// settleAt answers a join, with the run if it is kept. If the attempt did not run,
// it leaves a tombstone, so that a dispatch that is still under way is refused.
// The caller holds a.mu.
func (a *attempts) settleAt(now time.Time, j *wire.Join) (*run, verdict) {
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

// The rules of this file make "at most once" and "not run" true. They rest on
// three facts of package wire: an attempt's id is never used for another request;
// an agent that restarted has another incarnation and refuses older dispatches; a
// dispatch's Expires is before its Forget.

// An attemptState is what an agent remembers of an attempt.
type attemptState int

const (
	attemptUnseen    attemptState = iota // not admitted here, or forgotten
	attemptKept                          // admitted; it runs, or its answer is kept
	attemptRan                           // admitted; its answer is gone
	attemptTombstone                     // given up before it was admitted
)

// mayAdmit returns why an attempt may not be admitted; empty if it may.
//
// An attempt is admitted unless it was admitted before, was given up, or its
// dispatch came after it expired: what was remembered of it may be forgotten then.
func mayAdmit(s attemptState, now, expires time.Time) ryeford.Reason {
	switch {
	case s == attemptKept, s == attemptRan:
		return ryeford.ReasonDuplicate
	case s == attemptTombstone:
		return ryeford.ReasonTombstone
	case now.After(expires):
		return ryeford.ReasonExpired
	}
	return ""
}

// A verdict is what an agent answers to a join.
type verdict int

const (
	verdictRuns    verdict = iota // the run is here
	verdictRan                    // it ran, but the answer is gone
	verdictNotRun                 // it did not run and never will
	verdictUnknown                // it may have run; nothing is remembered any more
	verdictNotYet                 // it did not run so far (after a peek)
)

// judge returns the verdict on an attempt at a join.
//
// An attempt did not run if it was not admitted and an admission would still be
// remembered. The caller then has to leave a tombstone, since its dispatch may
// still be under way. A peek leaves none, so until the attempt expires it proves
// nothing.
func judge(s attemptState, now, expires, forget time.Time, peek bool) verdict {
	switch {
	case s == attemptKept:
		return verdictRuns
	case s == attemptRan:
		return verdictRan
	case now.After(later(forget, expires)):
		return verdictUnknown
	case peek && !now.After(expires):
		return verdictNotYet
	}
	return verdictNotRun
}

// refusal returns the refusal of a join that does not get the answer. unknown
// says that the attempt may have run, or may still.
func (v verdict) refusal() (reason ryeford.Reason, unknown bool) {
	switch v {
	case verdictNotRun:
		return ryeford.ReasonTombstone, false
	case verdictNotYet:
		return ryeford.ReasonRunning, true
	case verdictUnknown:
		return ryeford.ReasonExpired, true
	}
	return ryeford.ReasonDuplicate, true
}

// rememberUntil returns until when an admitted attempt is remembered: as long as
// any router may ask for it or dispatch it again, on a clock that may step back by
// skew.
func rememberUntil(expires, forget time.Time, skew time.Duration) time.Time {
	return later(forget, expires).Add(skew)
}

// tombstoneUntil returns until when a tombstone is kept: after the attempt has
// expired, a dispatch is refused without it.
func tombstoneUntil(expires time.Time, skew time.Duration) time.Time {
	return expires.Add(skew)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
