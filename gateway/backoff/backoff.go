// Package backoff records which endpoints are backing off from this router, and until when.
//
// Rule: this router sends nothing to an endpoint that has refused a request with a Retry-After until
// that time has passed. The latest of several such times counts: an earlier one does not shorten the
// back-off.
//
// Why: an endpoint that refuses all requests looks idle, so load balancing would prefer it. Each
// refusal costs its caller time and the service a retry of its budget.
//
// The package owns these times, by endpoint incarnation. It reads no clock and does no I/O. A back-off
// is not a failure: package outlier counts none for it.
package backoff

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford"
)

// maxPeriods limits the memory for back-offs. Beyond it, the one that ends first is evicted.
const maxPeriods = 4096

// A Table holds the back-offs of endpoints. Its methods may be called concurrently.
type Table struct {
	mu      sync.RWMutex
	periods map[ryeford.EndpointID]Period
	size    atomic.Int64 // number of periods, readable without mu
}

// A Period is a period in which an endpoint accepts no requests from this router.
type Period struct {
	Endpoint ryeford.EndpointID
	// Began is when the endpoint first asked for the back-off, and Until when it ends.
	Began, Until time.Time
	// Refused is how many requests the endpoint has refused with a Retry-After in this period, including
	// those sent before it began.
	Refused int
}

// New returns an empty Table.
func New() *Table { return &Table{periods: make(map[ryeford.EndpointID]Period)} }

// Start records that an endpoint has refused a request and backs off for duration from now. It returns
// true if the endpoint was not backing off before.
func (t *Table) Start(now time.Time, id ryeford.EndpointID, duration time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, known := t.periods[id]
	started := !known || !now.Before(p.Until)
	if started {
		p = Period{Endpoint: id, Began: now}
	}
	if until := now.Add(duration); until.After(p.Until) {
		p.Until = until
	}
	p.Refused++
	if !known && len(t.periods) >= maxPeriods {
		t.evictEarliest()
	}
	t.periods[id] = p
	t.size.Store(int64(len(t.periods)))
	return started
}

// evictEarliest evicts the back-off that ends first.
func (t *Table) evictEarliest() {
	var first *Period
	for _, p := range t.periods {
		if first == nil || p.Until.Before(first.Until) {
			first = &p
		}
	}
	delete(t.periods, first.Endpoint)
}

// Remaining returns how long an endpoint still backs off; zero if it doesn't.
func (t *Table) Remaining(now time.Time, id ryeford.EndpointID) time.Duration {
	if t.size.Load() == 0 {
		return 0 // common case; a choice calls Remaining for each endpoint
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return max(0, t.periods[id].Until.Sub(now))
}

// Expire removes the back-offs that have ended, and returns them.
func (t *Table) Expire(now time.Time) []Period {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []Period
	for id, p := range t.periods {
		if !now.Before(p.Until) {
			ended = append(ended, p)
			delete(t.periods, id)
		}
	}
	t.size.Store(int64(len(t.periods)))
	return ended
}

// Len returns the number of endpoints that are backing off, including ended back-offs not yet expired.
func (t *Table) Len() int { return int(t.size.Load()) }
