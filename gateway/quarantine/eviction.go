package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
		return cmp.Or(cmp.Compare(t.weight(a), t.weight(b)), a.expires().Compare(b.expires()))
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
	t.size.Add(-1)
	if t.filters[filter]--; t.filters[filter] <= 0 {
		delete(t.filters, filter)
	}
}
