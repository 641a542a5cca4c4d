// Package callermemory bounds the memory that a router holds for its callers: the bodies of their requests and
// the responses that they have not read yet.
//
// Rule: all callers together hold at most the budget. A reservation that doesn't fit cuts off the callers that have
// kept the router waiting for the longest time, at least for minStall, until it fits. If there are no such callers,
// it fails.
//
// Why: callers may send and read slowly, and many may do so at once. Without the bound they would use up the memory
// of the process, and with the bound alone a few slow callers would keep all others out.
//
// The package reads no clock and does no I/O.
package callermemory

import (
	"sync"
	"time"
)

// minStall is how long a caller must have kept the router waiting to be cut off for the memory that it holds.
const minStall = time.Second

// A Budget is the memory that callers may hold, in bytes. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu          sync.Mutex
	reserved    int64
	allocations map[*Allocation]bool // all with bytes
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, allocations: make(map[*Allocation]bool)} }

// An Allocation is the memory that is held for one request. Its methods may be called concurrently.
type Allocation struct {
	budget *Budget
	cutOff func() // ends the read from or the write to the caller

	// The following fields are guarded by budget.mu.
	reserved     int64
	waitingSince time.Time // since when the router waits for the caller; zero if it does not
	cut          bool
}

// NewAllocation returns an Allocation without memory. cutOff is called at most once, to end a read from the caller or
// a write to it, and must not call the budget.
func (b *Budget) NewAllocation(cutOff func()) *Allocation {
	return &Allocation{budget: b, cutOff: cutOff}
}

// Limit returns the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// Grow reserves further bytes and reports whether they fit. It returns false once the caller was cut off.
func (a *Allocation) Grow(now time.Time, bytes int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.cut || bytes > b.limit {
		return false
	}
	for b.reserved+bytes > b.limit {
		slowest := b.slowest(now, a)
		if slowest == nil {
			return false
		}
		slowest.cut = true
		slowest.release()
		slowest.cutOff()
	}
	b.reserved += bytes
	a.reserved += bytes
	b.allocations[a] = true
	return true
}

// slowest returns the allocation, other than one, whose caller has kept the router waiting for the longest time, or nil
// if none has for minStall. b.mu is held.
func (b *Budget) slowest(now time.Time, except *Allocation) *Allocation {
	var slowest *Allocation
	for a := range b.allocations {
		if a == except || a.waitingSince.IsZero() || now.Sub(a.waitingSince) < minStall {
			continue
		}
		if slowest == nil || a.waitingSince.Before(slowest.waitingSince) {
			slowest = a
		}
	}
	return slowest
}

// Wait records that the router waits for the caller, which sends its body or reads its response.
func (a *Allocation) Wait(now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.waitingSince.IsZero() {
		a.waitingSince = now
	}
}

// Resume records that the router no longer waits for the caller.
func (a *Allocation) Resume() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waitingSince = time.Time{}
}

// Cut reports whether the caller was cut off for the memory that it held.
func (a *Allocation) Cut() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.cut
}

// Release releases all reserved bytes. It may be called more than once.
func (a *Allocation) Release() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release()
}

// release is Release with budget.mu held.
func (a *Allocation) release() {
	a.budget.reserved -= a.reserved
	a.reserved = 0
	a.waitingSince = time.Time{}
	delete(a.budget.allocations, a)
}
