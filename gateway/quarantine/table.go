package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecords bounds the memory for records, of about 500 bytes each.
	maxRecords = 2048
	// sendsPerChange is the number of messages that contain a record after each change. With several
	// receivers for each message it reaches all routers.
	sendsPerChange = 4
	// trialDuration is the time that a trial may take. It is the retry delay of callers while a trial is due
	// that this router may not start.
	trialDuration = time.Minute
)

// A Table holds the records of one router. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	records  map[Fingerprint]*entry
	filters  map[Filter]int // number of records by filter
	nextHeld int            // index of the held record that was sent last
}

// An entry is a record and its send state.
type entry struct {
	Record
	sendsLeft int // number of further messages to include the record in
}

// New returns an empty Table.
func New() *Table {
	return &Table{records: make(map[Fingerprint]*entry), filters: make(map[Filter]int)}
}

// MayMatch reports whether a record may match a request whose fingerprint has the filter.
func (t *Table) MayMatch(filter Filter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.filters[filter] > 0
}

// RecordCrash records that an endpoint ended while it ran a request of an account. It returns a copy of the
// request's record.
func (t *Table) RecordCrash(now time.Time, fingerprint Fingerprint, account uint32, crash Crash) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, fingerprint, account)
	if e.add(crash) {
		e.sendsLeft = sendsPerChange
	}
	return e.copy()
}

// RecordSuccess records that a request was answered with a success, and reports whether it was held.
func (t *Table) RecordSuccess(now time.Time, fingerprint Fingerprint) (wasHeld bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[fingerprint]
	if e == nil {
		return false
	}
	wasHeld = !e.HeldSince.IsZero()
	if len(e.Crashes) > 0 || wasHeld {
		e.recordSuccess(now)
		e.sendsLeft = sendsPerChange
	}
	return wasHeld
}

// A Decision states whether a request may be sent to an endpoint.
type Decision struct {
	Held bool
	// RetryAfter is the time until a held request may be tried again, or until its record expires.
	RetryAfter time.Duration
	// Trial reports that the request may be sent as a trial of a held request. Record is the record
	// including this trial.
	Trial  bool
	Record Record
}

// Check returns the decision on a request. mayTry reports whether this router may start a trial now.
func (t *Table) Check(now time.Time, fingerprint Fingerprint, mayTry bool) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[fingerprint]
	if e == nil || e.HeldSince.IsZero() {
		return Decision{}
	}
	due, possible := e.trialDue()
	switch {
	case !possible:
		return Decision{Held: true, RetryAfter: e.expires().Sub(now)}
	case now.Before(due):
		return Decision{Held: true, RetryAfter: due.Sub(now)}
	case !mayTry:
		return Decision{Held: true, RetryAfter: trialDuration}
	}
	e.Trials, e.LastTrial, e.sendsLeft = e.Trials+1, now, sendsPerChange
	return Decision{Trial: true, Record: e.copy()}
}

// Merge adds the records of a peer, and returns the records that are held as a result.
func (t *Table) Merge(now time.Time, records []Record) (held []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		other := &records[i]
		if !now.Before(other.expires()) {
			continue
		}
		e := t.entry(now, other.Fingerprint, other.Account)
		before := e.HeldSince
		if e.merge(other) {
			e.sendsLeft = sendsPerChange
		}
		if before.IsZero() && !e.HeldSince.IsZero() {
			held = append(held, e.copy())
		}
	}
	return held
}

// Outgoing returns the records to include in the next message to peers, up to limit. Recently changed records
// come first, by weight. If there is room, one other held record follows in rotation, for peers that have just
// started or were partitioned.
func (t *Table) Outgoing(now time.Time, limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 || limit <= 0 {
		return nil
	}
	t.expire(now)
	changed, held := t.outgoing()
	var result []Record
	for _, e := range changed[:min(len(changed), limit)] {
		e.sendsLeft--
		result = append(result, e.copy())
	}
	if len(held) > 0 && len(result) < limit {
		t.nextHeld = (t.nextHeld + 1) % len(held)
		result = append(result, held[t.nextHeld].copy())
	}
	return result
}

// outgoing returns the records that still have messages to go out with, by descending weight, and the other held
// records. t.mu is held.
func (t *Table) outgoing() (changed, held []*entry) {
	for _, e := range t.records {
		switch {
		case e.sendsLeft > 0:
			changed = append(changed, e)
		case !e.HeldSince.IsZero():
			held = append(held, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	slices.SortFunc(held, func(a, b *entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return changed, held
}

// weight returns the priority of the record: held requests have the highest.
func (e *entry) weight() int {
	if !e.HeldSince.IsZero() {
		return crashesToHold + 1
	}
	return countSuccessive(e.Crashes)
}

// Held returns the records of held requests.
func (t *Table) Held() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []Record
	for _, e := range t.records {
		if !e.HeldSince.IsZero() {
			held = append(held, e.copy())
		}
	}
	return held
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// entry returns the entry of a fingerprint, and creates it if needed. t.mu is held.
func (t *Table) entry(now time.Time, fingerprint Fingerprint, account uint32) *entry {
	if e := t.records[fingerprint]; e != nil {
		return e
	}
	if len(t.records) >= maxRecords {
		t.expire(now)
	}
	if len(t.records) >= maxRecords {
		t.evict(t.largestAccount())
	}
	e := &entry{Record: Record{Fingerprint: fingerprint, Account: account}}
	t.records[fingerprint] = e
	t.filters[fingerprint.Filter()]++
	return e
}

// largestAccount returns the account with the most records. Records are evicted from this account, so that an
// account with many poison requests does not displace the records of others. t.mu is held.
func (t *Table) largestAccount() uint32 {
	counts := make(map[uint32]int)
	for _, e := range t.records {
		counts[e.Account]++
	}
	accounts := slices.Collect(maps.Keys(counts))
	return slices.MaxFunc(accounts, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(a, b))
	})
}

// evict removes an eighth of an account's records: those with the lowest weight, and among these those that
// expire first. t.mu is held.
func (t *Table) evict(account uint32) {
	var entries []*entry
	for _, e := range t.records {
		if e.Account == account {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.weight(), b.weight()), a.expires().Compare(b.expires()))
	})
	for _, e := range entries[:len(entries)/8+1] {
		t.remove(e)
	}
}

// expire removes the expired records. t.mu is held.
func (t *Table) expire(now time.Time) {
	for _, e := range t.records {
		if !now.Before(e.expires()) {
			t.remove(e)
		}
	}
}

// remove removes a record. t.mu is held.
func (t *Table) remove(e *entry) {
	filter := e.Fingerprint.Filter()
	delete(t.records, e.Fingerprint)
	if t.filters[filter]--; t.filters[filter] <= 0 {
		delete(t.filters, filter)
	}
}

// copy returns a deep copy of the record.
func (e *entry) copy() Record {
	record := e.Record
	record.Crashes = slices.Clone(e.Crashes)
	return record
}
