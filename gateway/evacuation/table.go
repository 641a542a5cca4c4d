// Package evacuation keeps which failure domains the operators have evacuated.
//
// Rule: what was read at the newest revision of the operators' source counts, whoever has read it.
// A router that relies on its configuration up to a moment knows the evacuations as of that
// moment: whatever confirms the one brings the other.
//
// Why: routers read the source in turns and live on their peers' word meanwhile. Revisions order
// what they say, however late it comes and through however many it has passed; an order that was
// withdrawn and given again has another revision. The set is small, so that each message can hold
// it whole, and there are no gaps to fill.
//
// A source that is back from a copy may lack an order that was in force: it stays in force until the
// operators have had keepTime to write it again, or has been read again.
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

// keepDuration is how long after a restore of the source an order stays in force that it lacks: for the
// operators to write it again, which they do at once, and for reading that.
const keepDuration = 5 * time.Second

// A Table holds the evacuations that are known. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	lastRead ryeford.Evacuations // as they were read; of revision zero: none were yet
	// kept are orders that a restored source has not been seen to have, until keptUntil.
	kept      []ryeford.Evacuation
	keptUntil time.Time
}

// Learn takes evacuations that were read at their revision. It returns those that are in force now,
// and whether that has changed.
func (t *Table) Learn(now time.Time, read ryeford.Evacuations) (inForce ryeford.Evacuations, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.inForce()
	if read.Revision > t.lastRead.Revision {
		if t.lastRead.Revision > 0 && read.Revision.Era() > t.lastRead.Revision.Era() {
			t.kept, t.keptUntil = before.Orders, now.Add(keepDuration)
		}
		t.lastRead = read
		t.kept = without(t.kept, &read) // the source has them: it also says when they end
	}
	if !now.Before(t.keptUntil) {
		t.kept = nil
	}
	inForce = t.inForce()
	return inForce, !slices.Equal(inForce.Orders, before.Orders)
}

// inForce returns what is known and what is kept. t.mu is held.
func (t *Table) inForce() ryeford.Evacuations {
	result := ryeford.Evacuations{Revision: t.lastRead.Revision, Orders: slices.Concat(t.lastRead.Orders, t.kept)}
	slices.SortFunc(result.Orders, func(a, b ryeford.Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return result
}

// without returns the orders for other failure domains than those of evacuations.
func without(orders []ryeford.Evacuation, evacuations *ryeford.Evacuations) []ryeford.Evacuation {
	var others []ryeford.Evacuation
	for _, order := range orders {
		if !evacuations.Has(order.FailureDomain) {
			others = append(others, order)
		}
	}
	return others
}

// Known returns the evacuations as they were read at their revision.
func (t *Table) Known() ryeford.Evacuations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastRead
}
