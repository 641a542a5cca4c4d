package roster

import (
	"maps"
	"slices"

	"github.com/ryeford/ryeford"
)

// Loaded reports whether a list has been read.
func (r *Roster) Loaded() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// Serving returns the endpoints of a service that accept requests, including those that accept none only
// because their failure domain is evacuated. The caller must not change them.
func (r *Roster) Serving(service string) []*Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.serving[service]
}

// Accepting returns the number of endpoints of a service that accept requests.
func (r *Roster) Accepting(service string) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.accepting[service]
}

// Draining returns the draining and departed endpoints of a service. The caller must not change them.
func (r *Roster) Draining(service string) []*Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.draining[service]
}

// Entry returns an endpoint, or nil if it is unknown. The caller must not change it.
func (r *Roster) Entry(id ryeford.EndpointID) *Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.entries[id]
}

// Has reports whether the roster has an endpoint, whatever its status.
func (r *Roster) Has(id ryeford.EndpointID) bool { return r.Entry(id) != nil }

// Len returns the number of endpoints, whatever their status.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.entries)
}

// FailureDomains returns the failure domains that have or had endpoints on the list, sorted. The operators may
// evacuate one that has none now.
func (r *Roster) FailureDomains() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.domains))
}

// Software returns the software versions of each service's endpoints, whatever their status, with the number of those
// that accept requests.
func (r *Roster) Software() map[string]map[ryeford.SoftwareVersion]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	versions := make(map[string]map[ryeford.SoftwareVersion]int)
	for _, entry := range r.entries {
		if versions[entry.Service] == nil {
			versions[entry.Service] = make(map[ryeford.SoftwareVersion]int)
		}
		accepting := 0
		if entry.Accepts() {
			accepting = 1
		}
		versions[entry.Service][entry.Software] += accepting
	}
	return versions
}
