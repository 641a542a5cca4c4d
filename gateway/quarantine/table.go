package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxRecords bounds the memory for records, of about 500 bytes each.
	maxRecords = 2048
	// sendsPerChange is the number of messages that contain a record after each change. With several
	// receivers for each message it reaches all routers.
	sendsPerChange = 4
	// maxRotated is the maximum number of unchanged held records in a message.
	maxRotated = 2
)

// A Table holds the records of one router. It is safe for concurrent use.
type Table struct {
	size atomic.Int64 // number of records, for requests while there are none

	mu        sync.Mutex
	records   map[Fingerprint]*entry
	filters   map[Filter]int // number of records by filter
	nextHeld  int            // index of the held record that was sent last
	successes successes      // of prompt parts
	endings   endings
}

// An entry is a record and its send state.
type entry struct {
	Record
	sendsLeft int  // number of further messages to include the record in
	stored    bool // this router has had a reason to store it
}

// New returns an empty Table.
func New() *Table {
	return &Table{records: make(map[Fingerprint]*entry), filters: make(map[Filter]int)}
}

// Empty reports whether there are no records, so that nothing matches any request.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// MayMatch reports whether a record may match a request whose fingerprint has the filter.
func (t *Table) MayMatch(filter Filter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.filters[filter] > 0
}

// A Charge is the outcome of a crash for one fingerprint of the request that ran.
type Charge struct {
	Record
	// NewlyHeld reports that the crash was the one that sufficed to hold the requests.
	NewlyHeld bool
	// Blocks reports that the record keeps the subject from being sent again.
	Blocks bool
}

// RecordCrash records that an endpoint ended while it ran a request. It returns a charge for each fingerprint of the
// request, other than those that have succeeded since the attempt began.
func (t *Table) RecordCrash(now time.Time, s *Subject, crash Crash) []Charge {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endings.add(crash.ending())
	var charges []Charge
	for _, fingerprint := range s.Fingerprints {
		if !crash.Began.After(t.successes.last(fingerprint)) {
			continue
		}
		e := t.entry(now, fingerprint, s.Account)
		wasHeld := t.holds(e)
		e.addAccount(s.Account)
		if e.add(crash) {
			e.sendsLeft = sendsPerChange
		}
		charges = append(charges, Charge{Record: e.copy(), NewlyHeld: !wasHeld && t.holds(e)})
	}
	for _, blocker := range t.blockers(s) {
		for i := range charges {
			if charges[i].Fingerprint == blocker.Fingerprint {
				charges[i].Blocks, blocker.stored = true, true
			}
		}
	}
	return charges
}

// RecordSuccess records that a request was answered with a success, and returns which of its fingerprints were held or
// may be stored. generated reports whether the endpoint generated anything: otherwise the success says nothing about
// prompt parts.
func (t *Table) RecordSuccess(now time.Time, s *Subject, generated bool) (released []Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, fingerprint := range s.Fingerprints {
		if fingerprint.IsPart() {
			if !generated {
				continue
			}
			t.successes.add(now, fingerprint)
		}
		e := t.records[fingerprint]
		if e == nil {
			continue
		}
		if len(e.Crashes) > 0 || !e.HeldSince.IsZero() {
			e.sendsLeft = sendsPerChange
		}
		if t.holds(e) || e.stored || e.Trials > 0 {
			released = append(released, fingerprint)
		}
		e.recordSuccess(now)
		e.stored = false
	}
	return released
}

// A Decision states whether a request may be sent to an endpoint.
type Decision struct {
	Held bool
	// By are the fingerprints for which the request is held.
	By []Fingerprint
	// RetryAfter is the time until a held request may be tried again, or until its record expires.
	RetryAfter time.Duration
	// Trial reports that the request may be sent as a trial of a held request. Records are the records
	// including this trial.
	Trial   bool
	Records []Record
}

// A Turn states which trials this router may start now.
type Turn struct {
	Request bool // of requests that are the same
	Part    bool // of prompt parts
}

// allows reports whether a trial of a record may start.
func (t Turn) allows(r *Record) bool {
	return t.Part && r.Fingerprint.IsPart() || t.Request && !r.Fingerprint.IsPart()
}

// Check returns the decision on a request.
func (t *Table) Check(now time.Time, s *Subject, turn Turn) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	blockers := t.blockers(s)
	if len(blockers) == 0 {
		return Decision{}
	}
	decision := Decision{Held: true}
	allowed := true
	for _, e := range blockers {
		after, due := e.retryAfter(now)
		decision.By = append(decision.By, e.Fingerprint)
		decision.RetryAfter = max(decision.RetryAfter, after)
		allowed = allowed && due && turn.allows(&e.Record)
	}
	if !allowed {
		return decision
	}
	return startTrial(now, blockers)
}

// startTrial starts a trial of held records.
func startTrial(now time.Time, held []*entry) Decision {
	decision := Decision{Trial: true}
	for _, e := range held {
		e.Trials, e.LastTrial, e.sendsLeft, e.stored = e.Trials+1, now, sendsPerChange, true
		decision.Records = append(decision.Records, e.copy())
	}
	return decision
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
		for _, crash := range other.Crashes {
			t.endings.add(crash.ending())
		}
		e := t.entry(now, other.Fingerprint, other.Account)
		wasHeld := t.holds(e)
		refuted := e.refutes(other)
		if e.merge(other) || refuted {
			e.sendsLeft = sendsPerChange
		}
		if !wasHeld && t.holds(e) {
			held = append(held, e.copy())
		}
	}
	return held
}

// Outgoing returns the records to include in the next message to peers, up to limit. Recently changed records
// come first, by weight. If there is room, other held records follow in rotation, for peers that have just
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
	for range min(len(held), maxRotated, limit-len(result)) {
		t.nextHeld = (t.nextHeld + 1) % len(held)
		result = append(result, held[t.nextHeld].copy())
	}
	return result
}

// ForJoining returns the records to include in the first message to a peer that has just started, up to limit: held
// ones, those with the most crashes first.
func (t *Table) ForJoining(limit int) []Record {
	held := t.Held()
	slices.SortFunc(held, func(a, b Record) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return held[:min(len(held), limit)]
}

// outgoing returns the records that still have messages to go out with, by descending weight, and the other held
// records. Peers need not know those of weight zero. t.mu is held.
func (t *Table) outgoing() (changed, held []*entry) {
	weights := make(map[*entry]int)
	for _, e := range t.records {
		weights[e] = t.weight(e)
		switch {
		case e.sendsLeft > 0 && (weights[e] > 0 || len(e.Crashes) == 0):
			changed = append(changed, e)
		case t.holds(e):
			held = append(held, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		// Records of one attempt are compared with each other, so that they go out together.
		return cmp.Or(cmp.Compare(weights[b], weights[a]), b.lastCrash().Compare(a.lastCrash()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	slices.SortFunc(held, func(a, b *entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return changed, held
}

// weight returns the priority of a record: held requests have the highest. It is zero if the crashes, which came
// together with others, are no evidence. A cause that crashes endpoints all the time has successive ones among them.
// t.mu is held.
func (t *Table) weight(e *entry) int {
	if t.holds(e) {
		return crashesToHold + 1
	}
	return max(countSuccessive(t.ungrouped(e)), min(1, countSuccessive(e.Crashes)-1))
}

// Held returns the records of held requests.
func (t *Table) Held() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []Record
	for _, e := range t.records {
		if t.holds(e) {
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
	e := &entry{Record: Record{Fingerprint: fingerprint, Account: account, LastSuccess: t.successes.last(fingerprint)}}
	t.records[fingerprint] = e
	t.filters[fingerprint.Filter()]++
	t.size.Add(1)
	return e
}

// copy returns a deep copy of the record.
func (e *entry) copy() Record {
	record := e.Record
	record.Crashes = slices.Clone(e.Crashes)
	return record
}
