// Package evacuation holds the failure domains that the operators have evacuated.
//
// Rule: the evacuations with the newest revision of the operators' source apply, whichever router has read
// them. A router with a valid configuration has the evacuations of the same time: each confirmation of the
// configuration includes them.
//
// Why: routers read the source in time slots and rely on peers in between. Revisions order the updates, however
// late they arrive and however many routers they pass; an order that was withdrawn and issued again has
// another revision. The set is small enough for each message to contain all of it.
//
// A source that was restored from a backup may lack an order that was in force. The order stays in force
// until it has been read again, or until keepDuration has passed, in which the operators can issue it again.
//
// The package does no I/O.
package evacuation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// keepDuration is how long after a restore of the source an order that it lacks stays in force. It covers the
// time for the operators to issue the order again and for the router to read it.
const keepDuration = 5 * time.Second

// A Table holds the evacuations. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	lastRead ryeford.Evacuations // as last read; revision zero if never read
	// kept holds orders from before a restore that were not read again yet. They are in force until keptUntil.
	kept      []ryeford.Evacuation
	keptUntil time.Time
}

// Merge applies evacuations that were read from the source by this router or a peer. It returns the evacuations
// that are in force now, and whether they have changed.
func (t *Table) Merge(now time.Time, read ryeford.Evacuations) (inForce ryeford.Evacuations, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.inForce()
	if read.Revision > t.lastRead.Revision {
		if t.lastRead.Revision > 0 && read.Revision.Era() > t.lastRead.Revision.Era() {
			t.kept, t.keptUntil = before.Orders, now.Add(keepDuration)
		}
		t.lastRead = read
		t.kept = without(t.kept, &read) // the restored source has these orders, and determines their end
	}
	if !now.Before(t.keptUntil) {
		t.kept = nil
	}
	inForce = t.inForce()
	return inForce, !slices.Equal(inForce.Orders, before.Orders)
}

// inForce returns the orders as last read and the kept ones. t.mu is held.
func (t *Table) inForce() ryeford.Evacuations {
	result := ryeford.Evacuations{Revision: t.lastRead.Revision, Orders: slices.Concat(t.lastRead.Orders, t.kept)}
	slices.SortFunc(result.Orders, func(a, b ryeford.Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return result
}

// without returns the orders for failure domains that are not in evacuations.
func without(orders []ryeford.Evacuation, evacuations *ryeford.Evacuations) []ryeford.Evacuation {
	var others []ryeford.Evacuation
	for _, order := range orders {
		if !evacuations.Has(order.FailureDomain) {
			others = append(others, order)
		}
	}
	return others
}

// LastRead returns the evacuations as last read, without kept orders.
func (t *Table) LastRead() ryeford.Evacuations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastRead
}
