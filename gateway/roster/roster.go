// Package roster holds the list of endpoints as a router believes it to be. It
// does no I/O.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// An Entry is one endpoint of a Roster.
type Entry struct {
	ryeford.Endpoint
	// Since is when the router first saw the endpoint, or zero where it was on
	// the first list.
	Since time.Time
	// Doubtful endpoints were dropped from the list while the list itself was in
	// trouble: they may live.
	Doubtful bool
	// Departed endpoints were dropped from the list without a word before: they
	// take no requests, but are likely to live a little longer, and to hold prompts
	// that others can fetch.
	Departed bool
	// until is when a doubtful or departed endpoint is forgotten.
	until time.Time
}

// lingers reports whether the endpoint is off the list, and only kept for a time.
func (e *Entry) lingers() bool { return e.Doubtful || e.Departed }

// Lingers are how long endpoints stay that were dropped from the list.
type Lingers struct {
	// Doubtful holds for those dropped in times of trouble, Departed for those
	// dropped without having said that they leave.
	Doubtful, Departed time.Duration
}

// A Roster is the list of endpoints.
type Roster struct {
	lingers Lingers

	mu       sync.RWMutex
	entries  map[ryeford.EndpointID]*Entry
	services map[string][]*Entry // sorted by ID; ready and doubtful ones
	draining map[string][]*Entry
	known    bool
	revision int64
}

// New returns an empty Roster.
func New(lingers Lingers) *Roster {
	return &Roster{
		lingers: lingers,
		entries: make(map[ryeford.EndpointID]*Entry),
	}
}

// A Change tells what an update did.
type Change struct {
	Added, Drained, Dropped, Doubted, Departed []ryeford.EndpointID
}

// Empty reports whether nothing has changed.
func (c *Change) Empty() bool {
	return len(c.Added)+len(c.Drained)+len(c.Dropped)+len(c.Doubted)+len(c.Departed) == 0
}

// Apply takes an update. troubled says that it is the first since the list was
// out of reach: what it drops then may live.
func (r *Roster) Apply(now time.Time, update *ryeford.EndpointUpdate, troubled bool) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var change Change
	if update.Revision < r.revision {
		return change
	}
	r.revision = update.Revision
	present := make(map[ryeford.EndpointID]bool, len(update.Present))
	for _, endpoint := range update.Present {
		present[endpoint.ID] = true
		r.put(now, endpoint, &change)
	}
	for _, id := range update.Removed {
		r.drop(now, id, troubled, &change)
	}
	if update.Snapshot {
		for id, entry := range r.entries {
			if !present[id] && !entry.lingers() {
				r.drop(now, id, troubled, &change)
			}
		}
	}
	r.known = true
	r.index()
	return change
}

// put takes what the list says of an endpoint.
func (r *Roster) put(now time.Time, endpoint ryeford.Endpoint, change *Change) {
	old := r.entries[endpoint.ID]
	entry := &Entry{Endpoint: endpoint}
	switch {
	case old != nil:
		entry.Since = old.Since
	case r.known:
		entry.Since = now
	}
	if old == nil {
		change.Added = append(change.Added, endpoint.ID)
	}
	if endpoint.State == ryeford.EndpointDraining && (old == nil || old.State != ryeford.EndpointDraining) {
		change.Drained = append(change.Drained, endpoint.ID)
	}
	r.entries[endpoint.ID] = entry
}

// drop takes an endpoint off the list.
func (r *Roster) drop(now time.Time, id ryeford.EndpointID, troubled bool, change *Change) {
	entry := r.entries[id]
	if entry == nil {
		return
	}
	kept := *entry
	switch {
	case entry.State == ryeford.EndpointDraining || (entry.Doubtful && !troubled):
		delete(r.entries, id)
		change.Dropped = append(change.Dropped, id)
		return
	case troubled:
		kept.Doubtful = true
		kept.until = now.Add(r.lingers.Doubtful)
		change.Doubted = append(change.Doubted, id)
	default:
		kept.Departed = true
		kept.State = ryeford.EndpointDraining
		kept.until = now.Add(r.lingers.Departed)
		change.Departed = append(change.Departed, id)
	}
	r.entries[id] = &kept
}

// Expire forgets the endpoints that have been kept for long enough, and returns
// them.
func (r *Roster) Expire(now time.Time) []ryeford.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var expired []ryeford.EndpointID
	for id, entry := range r.entries {
		if entry.lingers() && now.After(entry.until) {
			delete(r.entries, id)
			expired = append(expired, id)
		}
	}
	if expired != nil {
		r.index()
	}
	return expired
}

// index builds the lists by service anew.
func (r *Roster) index() {
	r.services = make(map[string][]*Entry)
	r.draining = make(map[string][]*Entry)
	for _, entry := range r.entries {
		if entry.State == ryeford.EndpointDraining {
			r.draining[entry.Service] = append(r.draining[entry.Service], entry)
			continue
		}
		r.services[entry.Service] = append(r.services[entry.Service], entry)
	}
	for _, lists := range []map[string][]*Entry{r.services, r.draining} {
		for _, entries := range lists {
			slices.SortFunc(entries, func(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
}

// Known reports whether the list has been read.
func (r *Roster) Known() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.known
}

// Serving returns the endpoints of a service that take new requests. The caller
// must not change them.
func (r *Roster) Serving(service string) []*Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[service]
}

// Draining returns the endpoints of a service that are leaving, or have departed.
func (r *Roster) Draining(service string) []*Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.draining[service]
}

// Entry returns an endpoint of the list, or nil. The caller must not change it.
func (r *Roster) Entry(id ryeford.EndpointID) *Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.entries[id]
}

// Knows reports whether an endpoint is on the list.
func (r *Roster) Knows(id ryeford.EndpointID) bool { return r.Entry(id) != nil }

// Takes reports whether an endpoint still takes new requests.
func (r *Roster) Takes(id ryeford.EndpointID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	entry := r.entries[id]
	return entry != nil && entry.State == ryeford.EndpointReady
}

// Len returns the number of endpoints on the list.
func (r *Roster) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.entries)
}
