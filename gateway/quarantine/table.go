package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxRecords bounds the records, of which one takes some 500 bytes (TestTableMemory).
	maxRecords = 2048
	// sendsPerChange is in how many messages of a router a record goes out after each change: with eight
	// peers a message, all of 390 have it after three routers' messages.
	sendsPerChange = 4
	// trialDuration is for how long a trial counts as under way: no other one begins.
	trialDuration = time.Minute
)

// A Table holds the records of a router. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	records  map[Fingerprint]*entry
	filters  map[Filter]int // how many records have it
	nextHeld int            // of the held records, that is sent in its turn
}

// An entry is a record and what is still to be done with it.
type entry struct {
	Record
	sendsLeft int // messages that it is still to go out with
}

// New returns a Table without records.
func New() *Table {
	return &Table{records: make(map[Fingerprint]*entry), filters: make(map[Filter]int)}
}

// Suspects reports whether any record may be of a request whose fingerprint has a filter.
func (t *Table) Suspects(filter Filter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.filters[filter] > 0
}

// Crashed notes that an endpoint ended while it ran a request of an account. It returns what is now known
// of the request.
func (t *Table) Crashed(now time.Time, fingerprint Fingerprint, account uint32, crash Crash) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, fingerprint, account)
	if e.add(crash) {
		e.sendsLeft = sendsPerChange
	}
	return e.copy()
}

// Answered notes that a request was answered with a success, and reports whether it was held.
func (t *Table) Answered(now time.Time, fingerprint Fingerprint) (wasHeld bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[fingerprint]
	if e == nil {
		return false
	}
	wasHeld = !e.Held.IsZero()
	if len(e.Crashes) > 0 || wasHeld {
		e.recordAnswer(now)
		e.sendsLeft = sendsPerChange
	}
	return wasHeld
}

// A Verdict says whether a request may be sent to an endpoint.
type Verdict struct {
	Held bool
	// Left is how long a held request is not tried again.
	Left time.Duration
	// Trial says that the request may be sent though others like it are held, and Record what
	// is known of them with that.
	Trial  bool
	Record Record
}

// Check returns the verdict on a request, of which this router may be the one that tries held ones
// again.
func (t *Table) Check(now time.Time, fingerprint Fingerprint, mayTry bool) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[fingerprint]
	if e == nil || e.Held.IsZero() {
		return Verdict{}
	}
	due, possible := e.trialDue()
	switch {
	case !possible:
		return Verdict{Held: true, Left: e.expires().Sub(now)}
	case now.Before(due):
		return Verdict{Held: true, Left: due.Sub(now)}
	case !mayTry:
		return Verdict{Held: true, Left: trialDuration}
	}
	e.Trials, e.Tried, e.sendsLeft = e.Trials+1, now, sendsPerChange
	return Verdict{Trial: true, Record: e.copy()}
}

// Merge adds what a peer knows, and returns the records that are held since.
func (t *Table) Merge(now time.Time, records []Record) (held []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range records {
		other := &records[i]
		if !now.Before(other.expires()) {
			continue
		}
		e := t.entry(now, other.Fingerprint, other.Account)
		before := e.Held
		if e.merge(other) {
			e.sendsLeft = sendsPerChange
		}
		if before.IsZero() && !e.Held.IsZero() {
			held = append(held, e.copy())
		}
	}
	return held
}

// Outgoing returns the records that go out with the next message, at most so many: those that changed
// lately, what is held and what has the most ends first; and one that is held, in turn, for peers that
// have just started or were cut off.
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

// outgoing returns the records that changed lately, the most important first, and the other ones that
// are held. t.mu is held.
func (t *Table) outgoing() (changed, held []*entry) {
	for _, e := range t.records {
		switch {
		case e.sendsLeft > 0:
			changed = append(changed, e)
		case !e.Held.IsZero():
			held = append(held, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	slices.SortFunc(held, func(a, b *entry) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return changed, held
}

// weight returns how much a record matters: most if requests are held.
func (e *entry) weight() int {
	if !e.Held.IsZero() {
		return crashesToHold + 1
	}
	return countSuccessive(e.Crashes)
}

// Held returns the records that are held.
func (t *Table) Held() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []Record
	for _, e := range t.records {
		if !e.Held.IsZero() {
			held = append(held, e.copy())
		}
	}
	return held
}

// Len returns how many records there are.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// entry returns the entry of a fingerprint, a new one if there is none. t.mu is held.
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

// largestAccount returns the account with the most records: it makes room, so that an account which
// sends many requests that crash engines pushes no other's records out. t.mu is held.
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

// evict removes the records of an account that matter least, an eighth of them: those with the
// fewest ends, and of these the ones that expire first. t.mu is held.
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

// expire removes the records that are of no use any more. t.mu is held.
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

// copy returns a copy that shares nothing with e.
func (e *entry) copy() Record {
	record := e.Record
	record.Crashes = slices.Clone(e.Crashes)
	return record
}
