package agent

import (
	"maps"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// attempts records which attempts were admitted by this agent and which were abandoned.
type attempts struct {
	retention time.Duration // of a finished answer
	skew      time.Duration // by how much the clock may step back

	mu      sync.Mutex
	records map[ryeford.AttemptID]attemptRecord
}

// An attemptRecord is the record of one attempt. The zero record is that of an attempt
// that was not seen.
type attemptRecord struct {
	state   attemptState
	run     *run      // if the state is attemptRetained
	expires time.Time // when the record may be removed, if it has no run
}

func newAttempts(retention, skew time.Duration) *attempts {
	return &attempts{retention: retention, skew: skew, records: make(map[ryeford.AttemptID]attemptRecord)}
}

// admit calls admitAt with the lock held. It reads the time after it has acquired the
// lock, since the dispatch may expire in the meantime.
func (a *attempts) admit(d *wire.Dispatch, decide func(now time.Time) *run) (*run, ryeford.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admitAt(time.Now(), d, decide)
}

// admitAt records the run that decide returns, if the attempt may be admitted. If it may
// not, admitAt returns the reason and the run that was admitted earlier for the attempt,
// if any. If decide returns nil, the run is nil and the reason empty. The caller holds
// a.mu.
func (a *attempts) admitAt(now time.Time, d *wire.Dispatch, decide func(now time.Time) *run) (*run, ryeford.Reason) {
	record := a.records[d.Attempt]
	if reason := admissionRefusal(record.state, now, d.Expires); reason != "" {
		return record.run, reason
	}
	r := decide(now)
	if r == nil {
		return nil, ""
	}
	expires := retainUntil(d.Expires, d.RetainUntil, a.skew)
	a.records[d.Attempt] = attemptRecord{state: attemptRetained, run: r, expires: expires}
	return r, ""
}

// join calls joinAt with the lock held. It reads the time after it has acquired the
// lock, since the record of an admission may expire in the meantime.
func (a *attempts) join(j *wire.Join) (r *run, reason ryeford.Reason, mayHaveRun bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.joinAt(time.Now(), j)
}

// joinAt returns the run that a join asks for, if its answer is retained and belongs to
// the account, or the reason why not (joinRefusal). If the attempt did not run, joinAt
// records a tombstone, so that a dispatch that arrives later is refused. The caller
// holds a.mu.
func (a *attempts) joinAt(now time.Time, j *wire.Join) (r *run, reason ryeford.Reason, mayHaveRun bool) {
	record := a.records[j.Attempt]
	if record.run != nil && record.run.dispatch.Account != j.Account {
		return nil, ryeford.ReasonDuplicate, true // it runs, for another account
	}
	reason, mayHaveRun = joinRefusal(record.state, now, j.Expires, j.RetainUntil, j.Peek)
	if reason == ryeford.ReasonTombstone {
		a.records[j.Attempt] = attemptRecord{state: attemptTombstone, expires: tombstoneUntil(j.Expires, a.skew)}
	}
	return record.run, reason, mayHaveRun
}

// scheduleDrop drops the answer of a finished run after the retention period.
func (a *attempts) scheduleDrop(r *run) {
	time.AfterFunc(a.retention, func() { a.dropAnswer(r.dispatch.Attempt) })
}

// dropAnswer drops the answer of an attempt. The record that the attempt ran remains.
func (a *attempts) dropAnswer(id ryeford.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if record := a.records[id]; record.run != nil {
		a.records[id] = attemptRecord{state: attemptRan, expires: record.expires}
	}
}

// sweep removes expired records.
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

// The rules below guarantee that an attempt runs at most once, and that an attempt that
// is reported as not run never runs. They rely on three properties of package wire: an
// attempt's ID is never reused for another request; a restarted agent has another
// incarnation and refuses older dispatches; a dispatch's Expires is before its RetainUntil.

// An attemptState is the recorded state of an attempt.
type attemptState int

const (
	attemptUnseen    attemptState = iota // not admitted by this agent, or the record was removed
	attemptRetained                      // admitted; it runs, or its answer is retained
	attemptRan                           // admitted; its answer was dropped
	attemptTombstone                     // abandoned before it was admitted
)

// admissionRefusal returns the reason why an attempt must not be admitted, or an empty
// reason if it may be.
//
// An attempt is refused if it was admitted before, was abandoned, or has expired. The
// record of an expired attempt may have been removed.
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

// joinRefusal returns the reason why a join does not get the answer of an attempt, and
// whether the attempt may have run or may still run. The reason is empty if the run is
// retained.
//
// An attempt did not run if there is no record of its admission and such a record would
// not have been removed yet. The caller must then record a tombstone, since the dispatch
// may still arrive. A peek records none, so it proves nothing until the attempt has
// expired.
func joinRefusal(s attemptState, now, expires, removeAfter time.Time, peek bool) (reason ryeford.Reason, mayHaveRun bool) {
	switch {
	case s == attemptRetained:
		return "", false
	case s == attemptRan:
		return ryeford.ReasonDuplicate, true // its answer was dropped
	case now.After(maxTime(removeAfter, expires)):
		return ryeford.ReasonExpired, true // its record may have been removed
	case peek && !now.After(expires):
		return ryeford.ReasonRunning, true // it did not run yet, but still may
	}
	return ryeford.ReasonTombstone, false // it did not run and never will
}

// retainUntil returns the time until which the record of an admitted attempt is retained:
// as long as a router may join the attempt or dispatch it again, with a margin for a
// clock that steps back by skew.
func retainUntil(expires, removeAfter time.Time, skew time.Duration) time.Time {
	return maxTime(removeAfter, expires).Add(skew)
}

// tombstoneUntil returns the time until which a tombstone is retained. It is not needed
// after the attempt has expired, because a dispatch is then refused anyway.
func tombstoneUntil(expires time.Time, skew time.Duration) time.Time {
	return expires.Add(skew)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
