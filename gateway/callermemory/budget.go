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

	mu       sync.Mutex
	reserved int64
	holders  map[*Holder]bool // all with reserved bytes
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, holders: make(map[*Holder]bool)} }

// A Holder is the memory that is held for one request. Its methods may be called concurrently.
type Holder struct {
	budget *Budget
	cutOff func() // ends the read from or the write to the caller

	// The following fields are guarded by budget.mu.
	reserved     int64
	waitingSince time.Time // since when the router waits for the caller; zero if it does not
	cut          bool
}

// Hold returns a Holder without memory. cutOff is called at most once, to end a read from the caller or a write to
// it, and must not call the budget.
func (b *Budget) Hold(cutOff func()) *Holder { return &Holder{budget: b, cutOff: cutOff} }

// Limit returns the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved
}

// Reserve reserves further bytes and reports whether they fit. It returns false once the holder was cut off.
func (h *Holder) Reserve(now time.Time, bytes int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.cut || bytes > b.limit {
		return false
	}
	for b.reserved+bytes > b.limit {
		slowest := b.slowest(now, h)
		if slowest == nil {
			return false
		}
		slowest.cut = true
		slowest.release()
		slowest.cutOff()
	}
	b.reserved += bytes
	h.reserved += bytes
	b.holders[h] = true
	return true
}

// slowest returns the holder, other than one, whose caller has kept the router waiting for the longest time, or nil
// if none has for minStall. b.mu is held.
func (b *Budget) slowest(now time.Time, except *Holder) *Holder {
	var slowest *Holder
	for h := range b.holders {
		if h == except || h.waitingSince.IsZero() || now.Sub(h.waitingSince) < minStall {
			continue
		}
		if slowest == nil || h.waitingSince.Before(slowest.waitingSince) {
			slowest = h
		}
	}
	return slowest
}

// Wait records that the router waits for the caller, which sends its body or reads its response.
func (h *Holder) Wait(now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.waitingSince.IsZero() {
		h.waitingSince = now
	}
}

// Resume records that the router no longer waits for the caller.
func (h *Holder) Resume() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.waitingSince = time.Time{}
}

// Cut reports whether the caller was cut off for the memory that it held.
func (h *Holder) Cut() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.cut
}

// Release releases all reserved bytes. It may be called more than once.
func (h *Holder) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.release()
}

// release is Release with budget.mu held.
func (h *Holder) release() {
	h.budget.reserved -= h.reserved
	h.reserved = 0
	h.waitingSince = time.Time{}
	delete(h.budget.holders, h)
}
