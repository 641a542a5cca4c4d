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
// The package does no I/O.
package evacuation

import (
	"slices"
	"sync"

	"github.com/ryeford/ryeford"
)

// A Table holds the evacuations that are known. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	known ryeford.Evacuations // of revision zero: none were read yet
}

// Learn takes evacuations that were read at their revision, and reports whether that has changed
// which failure domains are evacuated.
func (t *Table) Learn(read ryeford.Evacuations) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if read.Revision <= t.known.Revision {
		return false
	}
	changed = !slices.Equal(read.Orders, t.known.Orders)
	t.known = read
	return changed
}

// Known returns the evacuations that are known.
func (t *Table) Known() ryeford.Evacuations {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}
