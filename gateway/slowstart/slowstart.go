// Package slowstart limits the requests that all routers together send to an endpoint which has
// just started and can handle only a limited rate until it is warm.
//
// Rule: time is divided into time slots for each endpoint, by a clock on which all routers have
// nearly the same bound. Each slot belongs to one router, in an order that all routers agree on.
// The router may send the endpoint one request in its slot, which remains valid for slotValidity
// after its start. Requests without a slot go to other endpoints.
//
// Why: routers need no messages to keep to the endpoint's rate, however many requests they have.
// Slots come at rateShare of the rate, and the requests sent within any second belong to slots that
// started within one second and slotValidity. Equal shares of the rate would be fractions of a
// request for each router, and could add up to one request of each router at the same time. Where
// routers know different peers, a slot may belong to two routers or to none; both are equally
// frequent.
//
// The package does no I/O and reads no clock.
package slowstart

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// slotValidity is how long after its start a time slot may be taken. A longer validity lets more
	// slots be used, but more requests may coincide in one second.
	slotValidity = time.Second / 3
	// rateShare is the rate of time slots as a share of the endpoint's rate. Together with
	// slotValidity it keeps the requests of each second below the rate.
	rateShare = 0.75
	// minSlot and maxSlot limit the length of a time slot for extreme rates: a length of zero would
	// cause a division by zero, and a very long one exceeds the range of time.Duration.
	minSlot = time.Microsecond
	maxSlot = time.Hour
)

// A Fleet is a router's view of the routers that share the time slots.
type Fleet struct {
	// Clock is the current bound on the clock by which time slots are counted.
	Clock time.Duration
	// Rank is this router's place in the order, from 0, and Routers the number of routers.
	Rank, Routers int
}

// TimeSlot returns the number of this router's latest time slot at an endpoint, and reports whether
// it is still valid. hash is the uniform hash of the endpoint's ID, and rate its requests a second.
func (f *Fleet) TimeSlot(hash uint64, rate float64) (number int64, valid bool) {
	if f.Routers <= 0 || !(rate > 0) { // also false for NaN
		return 0, false
	}
	length := slotLength(rate)
	// The hash shifts the slots, so that a router's slots at different endpoints don't coincide.
	routers := int64(f.Routers)
	clock := f.Clock + length*time.Duration(hash%uint64(routers))
	current := int64(clock / length)
	number = current - modulo(current-int64(f.Rank), routers)
	return number, clock-time.Duration(number)*length < max(slotValidity, length)
}

// slotLength returns the length of a time slot, within minSlot and maxSlot.
func slotLength(rate float64) time.Duration {
	length := float64(time.Second) / (rateShare * rate)
	return time.Duration(min(max(length, float64(minSlot)), float64(maxSlot)))
}

// modulo returns n modulo m, which is never negative.
func modulo(n, m int64) int64 { return ((n % m) + m) % m }

// A Table records the time slots that this router has taken. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	taken map[ryeford.EndpointID]int64
}

// New returns an empty Table.
func New() *Table { return &Table{taken: make(map[ryeford.EndpointID]int64)} }

// IsFree reports whether neither the time slot nor a later one at the endpoint was taken yet.
func (t *Table) IsFree(id ryeford.EndpointID, slot int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, ok := t.taken[id]
	return !ok || last < slot
}

// Take takes a time slot at an endpoint, and reports whether it was free.
func (t *Table) Take(id ryeford.EndpointID, slot int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, ok := t.taken[id]; ok && last >= slot {
		return false
	}
	t.taken[id] = slot
	return true
}

// Remove drops an endpoint that is gone.
func (t *Table) Remove(id ryeford.EndpointID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.taken, id)
}
