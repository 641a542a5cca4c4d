package roster

import (
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// SetEvacuated sets which failure domains are evacuated. It returns those whose evacuation has begun
// and those whose evacuation has ended. An order that was withdrawn and issued again since the last
// call counts as one continued evacuation.
func (r *Roster) SetEvacuated(now time.Time, evacuations ryeford.Evacuations) (began, ended []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for domain := range r.evacuated {
		if !evacuations.Has(domain) {
			ended = append(ended, domain)
			delete(r.evacuated, domain)
			r.evacuationEnded[domain] = now
		}
	}
	for _, order := range evacuations.Orders {
		if !r.evacuated[order.FailureDomain] {
			began = append(began, order.FailureDomain)
			r.evacuated[order.FailureDomain] = true
		}
	}
	slices.Sort(ended)
	for id, entry := range r.entries {
		if slices.Contains(began, entry.FailureDomain) || slices.Contains(ended, entry.FailureDomain) {
			changed := *entry // callers may hold the old entry
			changed.Evacuated, changed.EvacuationEnded = r.evacuated[entry.FailureDomain], r.evacuationEnded[entry.FailureDomain]
			r.entries[id] = &changed
		}
	}
	r.rebuildIndex()
	return began, ended
}
