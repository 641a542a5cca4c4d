package agent

import (
	"maps"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// attempts remembers which attempts were admitted here and which were given up.
type attempts struct {
	retention time.Duration // how long a finished answer is kept
	skew      time.Duration // by how much the clock may step back

	mu      sync.Mutex
	records map[ryeford.AttemptID]attemptRecord
}

// An attempt is what is remembered of one. The zero attempt is one that was not seen.
type attemptRecord struct {
	state   attemptState
	run     *run      // with attemptKept
	expires time.Time // when it may be forgotten, once there is no run
}

func newAttempts(retention, skew time.Duration) *attempts {
	return &attempts{retention: retention, skew: skew, records: make(map[ryeford.AttemptID]attemptRecord)}
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
	record := a.records[d.Attempt]
	if reason := admissionRefusal(record.state, now, d.Expires); reason != "" {
		return record.run, reason
	}
	r := decide(now)
	if r == nil {
		return nil, ""
	}
	expires := retainUntil(d.Expires, d.Forget, a.skew)
	a.records[d.Attempt] = attemptRecord{state: attemptRetained, run: r, expires: expires}
	return r, ""
}

// settle answers a join with settleAt, once it has the lock: an admission may be
// forgotten while it waits.
func (a *attempts) join(j *wire.Join) (r *run, reason ryeford.Reason, unknown bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joinAt(time.Now(), j)
}

// settleAt answers a join, with the run if its answer is kept and the account's, or with
// why there is none (judge). If the attempt did not run, it leaves a tombstone, so that a
// dispatch that is still under way is refused. The caller holds a.mu.
func (a *attempts) joinAt(now time.Time, j *wire.Join) (r *run, reason ryeford.Reason, unknown bool) {
	record := a.records[j.Attempt]
	if record.run != nil && record.run.dispatch.Account != j.Account {
		return nil, ryeford.ReasonDuplicate, true // it runs, for another account
	}
	reason, unknown = joinRefusal(record.state, now, j.Expires, j.Forget, j.Peek)
	if reason == ryeford.ReasonTombstone {
		a.records[j.Attempt] = attemptRecord{state: attemptTombstone, expires: tombstoneUntil(j.Expires, a.skew)}
	}
	return record.run, reason, unknown
}

// finished drops a finished run's answer after keep.
func (a *attempts) scheduleDrop(r *run) {
	time.AfterFunc(a.retention, func() { a.dropAnswer(r.dispatch.Attempt) })
}

// drop drops the answer of an attempt that ran, which is remembered as before.
func (a *attempts) dropAnswer(id ryeford.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if record := a.records[id]; record.run != nil {
		a.records[id] = attemptRecord{state: attemptRan, expires: record.expires}
	}
}

// sweep forgets what need not be remembered any more.
func (a *attempts) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.records, func(_ ryeford.AttemptID, record attemptRecord) bool {
		return record.run == nil && now.After(record.expires)
	})
}

func (a *attempts) countUnfinished() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, record := range a.records {
		if record.run != nil && !record.run.log.Finished() {
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
	attemptRetained                      // admitted; it runs, or its answer is kept
	attemptRan                           // admitted; its answer is gone
	attemptTombstone                     // given up before it was admitted
)

// mayAdmit returns why an attempt may not be admitted; empty if it may.
//
// An attempt is admitted unless it was admitted before, was given up, or its
// dispatch came after it expired: what was remembered of it may be forgotten then.
func admissionRefusal(s attemptState, now, expires time.Time) ryeford.Reason {
	switch {
	case s == attemptRetained, s == attemptRan:
		return ryeford.ReasonDuplicate
	case s == attemptTombstone:
		return ryeford.ReasonTombstone
	case now.After(expires):
		return ryeford.ReasonExpired
	}
	return ""
}

// judge returns why a join does not get the answer of an attempt, and whether the attempt
// may have run, or may still. The reason is empty if the run is kept.
//
// An attempt did not run if it was not admitted and an admission would still be
// remembered. The caller then has to leave a tombstone, since its dispatch may
// still be under way. A peek leaves none, so until the attempt expires it proves
// nothing.
func joinRefusal(s attemptState, now, expires, forget time.Time, peek bool) (reason ryeford.Reason, unknown bool) {
	switch {
	case s == attemptRetained:
		return "", false
	case s == attemptRan:
		return ryeford.ReasonDuplicate, true // its answer is gone
	case now.After(maxTime(forget, expires)):
		return ryeford.ReasonExpired, true // nothing is remembered any more
	case peek && !now.After(expires):
		return ryeford.ReasonRunning, true // not so far, but it may yet
	}
	return ryeford.ReasonTombstone, false // it did not and never will
}

// rememberUntil returns until when an admitted attempt is remembered: as long as
// any router may ask for it or dispatch it again, on a clock that may step back by
// skew.
func retainUntil(expires, forget time.Time, skew time.Duration) time.Time {
	return maxTime(forget, expires).Add(skew)
}

// tombstoneUntil returns until when a tombstone is kept: after the attempt has
// expired, a dispatch is refused without it.
func tombstoneUntil(expires time.Time, skew time.Duration) time.Time {
	return expires.Add(skew)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
