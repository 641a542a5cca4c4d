// Package slowstart bounds the requests that all routers together send to an endpoint which has
// just started, and bears only so many a second until it is warm.
//
// Rule: time is divided into turns, of which each endpoint has its own, by a clock that all routers
// bound alike. In each turn one router, all of them one after the other in an order that they agree
// on, may send the endpoint one request, until validity after the turn's beginning. What finds no
// turn goes to other endpoints.
//
// Why: no message is needed for a request, and whatever the routers want to send, in no second
// there are more requests than the endpoint bears: the turns come at rateShare of its rate, and those
// of one second's requests began within one second and validity. Equal parts of the rate would
// have to carry fractions of a request, and add up to one request of each router at once. Where
// routers know of different peers, a turn may belong to two of them or to none: as many are taken
// twice as are left out.
//
// The package does no I/O and reads no clock.
package slowstart

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// validity is how long after its beginning a turn may be taken. The longer, the more turns
	// are taken, and the more requests may meet in one second.
	validity = time.Second / 3
	// rateShare is the part of the rate that an endpoint bears with which turns come: with
	// validity it keeps each second's requests below the rate.
	rateShare = 0.75
	// minTurn and maxTurn bound the length of a turn, whatever the rate is: a turn of no length would
	// divide by zero in every choice, and one of years exceeds a time.Duration.
	minTurn = time.Microsecond
	maxTurn = time.Hour
)

// A Fleet is what a router knows of the routers whose turns these are.
type Fleet struct {
	// Clock is what the clock shows by which turns are counted.
	Clock time.Duration
	// Rank is this router's place in the order, from 0, and Routers how many there are.
	Rank, Routers int
}

// Turn returns the number of this router's latest turn at an endpoint that bears so many requests a
// second, given the uniform hash of the endpoint's ID, and reports whether it is still valid.
func (f *Fleet) Turn(hash uint64, rate float64) (number int64, valid bool) {
	if f.Routers <= 0 || !(rate > 0) { // NaN is none
		return 0, false
	}
	length := turnLength(rate)
	// The hash shifts the turns, so that a router's are not at the same moment at all endpoints.
	routers := int64(f.Routers)
	clock := f.Clock + length*time.Duration(hash%uint64(routers))
	current := int64(clock / length)
	number = current - modulo(current-int64(f.Rank), routers)
	return number, clock-time.Duration(number)*length < max(validity, length)
}

// turnLength returns the time from one turn to the next, within minTurn and maxTurn.
func turnLength(rate float64) time.Duration {
	length := float64(time.Second) / (rateShare * rate)
	return time.Duration(min(max(length, float64(minTurn)), float64(maxTurn)))
}

// modulo returns n modulo m, from 0.
func modulo(n, m int64) int64 { return ((n % m) + m) % m }

// A Table holds which turns this router has taken. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	taken map[ryeford.EndpointID]int64
}

// New returns a Table of a router that has taken no turn.
func New() *Table { return &Table{taken: make(map[ryeford.EndpointID]int64)} }

// Free reports whether a turn at an endpoint was not taken yet.
func (t *Table) Free(id ryeford.EndpointID, turn int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.taken[id]
	return !ok || last < turn
}

// Take takes a turn at an endpoint, and reports whether it was free.
func (t *Table) Take(id ryeford.EndpointID, turn int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, ok := t.taken[id]; ok && last >= turn {
		return false
	}
	t.taken[id] = turn
	return true
}

// Forget drops an endpoint that is gone.
func (t *Table) Forget(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.taken, id)
}
