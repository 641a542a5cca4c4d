// Package rest keeps which endpoints have asked this router for rest, and until when.
//
// Rule: an endpoint that has refused a request and said when it wants the next one is sent nothing by this
// router before that. Of several such times the latest counts: one that ends sooner takes nothing back.
//
// Why: an endpoint that refuses all that comes looks idle, and draws requests that it refuses again; each
// costs its caller time and the service an attempt of its retry budget.
//
// The package owns those times, by life of an endpoint. It relies on the caller's clock and does no I/O. A
// rest is no failure: package outlier counts none for it.
package rest

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford"
)

// maxRests bounds the memory for endpoints that rest. Beyond it the rest that is over first is forgotten.
const maxRests = 4096

// A Table keeps the rests of endpoints. Its methods may be called concurrently.
type Table struct {
	mu    sync.RWMutex
	rests map[ryeford.EndpointID]Rest
	size  atomic.Int64 // of rests, to be read without mu
}

// A Rest is that an endpoint wants no requests of this router.
type Rest struct {
	Endpoint ryeford.EndpointID
	// Began is when the endpoint first asked for it, and Until when it is over.
	Began, Until time.Time
	// Refused is how many requests the endpoint has refused in it with a time to come back, those that had
	// been sent before included.
	Refused int
}

// New returns a Table in which no endpoint rests.
func New() *Table { return &Table{rests: make(map[ryeford.EndpointID]Rest)} }

// Ask takes that an endpoint has refused a request and asked for rest from now on, and reports whether it
// did not rest before.
func (t *Table) Ask(now time.Time, id ryeford.EndpointID, span time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.rests[id]
	begins := !known || !now.Before(r.Until)
	if begins {
		r = Rest{Endpoint: id, Began: now}
	}
	if until := now.Add(span); until.After(r.Until) {
		r.Until = until
	}
	r.Refused++
	if !known && len(t.rests) >= maxRests {
		t.forgetFirst()
	}
	t.rests[id] = r
	t.size.Store(int64(len(t.rests)))
	return begins
}

// forgetFirst forgets the rest that is over first.
func (t *Table) forgetFirst() {
	var first *Rest
	for _, r := range t.rests {
		if first == nil || r.Until.Before(first.Until) {
			first = &r
		}
	}
	delete(t.rests, first.Endpoint)
}

// Left returns for how long an endpoint still rests; zero if it doesn't.
func (t *Table) Left(now time.Time, id ryeford.EndpointID) time.Duration {
	if t.size.Load() == 0 {
		return 0 // as almost always: a choice asks for each endpoint
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return max(0, t.rests[id].Until.Sub(now))
}

// Expire forgets the rests that are over, and returns them.
func (t *Table) Expire(now time.Time) []Rest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var over []Rest
	for id, r := range t.rests {
		if !now.Before(r.Until) {
			over = append(over, r)
			delete(t.rests, id)
		}
	}
	t.size.Store(int64(len(t.rests)))
	return over
}

// Len returns how many endpoints rest, those included whose rest is over and not yet expired.
func (t *Table) Len() int { return int(t.size.Load()) }
