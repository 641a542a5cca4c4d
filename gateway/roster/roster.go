// Package roster is the list of endpoints as one router believes it to be: what
// the platform's list says, what endpoints have said of their leaving, and for a short time
// what the list has dropped.
//
// It owns each endpoint's status. It relies on the caller for the updates, in any
// order (an update older than the last one is ignored), for the endpoints' own word, and for
// calling Expire. It does no I/O. The rules and their constants are in status.go (dropped
// endpoints), leaving.go and withheld.go.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// A Roster is the list of endpoints.
type Roster struct {
	mu           sync.RWMutex
	entries      map[ryeford.EndpointID]*Entry
	incarnations map[ryeford.EndpointID]ryeford.EndpointID // the life that is known, by name
	serving      map[string][]*Entry                       // by service, sorted by ID: those that accept requests
	draining     map[string][]*Entry                       // by service, sorted by ID: the others
	accepting    map[string]int                            // by service: how many accept requests
	loaded       bool
	revision     ryeford.Revision

	evacuated       map[string]bool      // failure domains
	evacuationEnded map[string]time.Time // when failure domains were last taken back

	departures map[ryeford.EndpointID]departure // lives that leave or are gone
	// leaving holds the lives that have said with a response that they leave, and when.
	leaving     map[ryeford.EndpointID]time.Time
	lastLeaving time.Time // the last of these
	// withholdUntil is until when these are believed against what the list had at the revision
	// restoredAt.
	withholdUntil   time.Time
	restoreRevision ryeford.Revision
	withholdEra     int64 // in which it was set
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		entries:         make(map[ryeford.EndpointID]*Entry),
		incarnations:    make(map[ryeford.EndpointID]ryeford.EndpointID),
		evacuated:       make(map[string]bool),
		evacuationEnded: make(map[string]time.Time),
		departures:      make(map[ryeford.EndpointID]departure),
		leaving:         make(map[ryeford.EndpointID]time.Time),
	}
}

// A Change is what an update did, as the IDs whose status has changed.
type Change struct {
	Added, Drained, Dropped, Suspected, Departed []ryeford.EndpointID
	// Withheld are those that the list has as ready, and that are sent nothing.
	Withheld []ryeford.EndpointID
	// Restarted are the endpoints of which another life is known now; the earlier one is Dropped.
	Restarted []ryeford.EndpointID
}

// Empty reports whether nothing has changed.
func (c *Change) Empty() bool {
	return len(c.Added)+len(c.Drained)+len(c.Dropped)+len(c.Suspected)+len(c.Departed)+len(c.Withheld) == 0
}

// Apply applies an update, unless it is older than the last one. Until suspectUntil
// an endpoint that the update drops becomes suspect (SuspectUntil); zero suspects none.
func (r *Roster) Apply(now time.Time, update *ryeford.EndpointUpdate, suspectUntil time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var change Change
	if update.Revision < r.revision {
		return change
	}
	switch {
	case !r.loaded:
		// What peers have withheld before this first list counts against it.
		r.restoreRevision, r.withholdEra = update.Revision, update.Revision.Era()
	case update.Revision.Era() > r.revision.Era():
		r.startWithholding(now, update.Revision)
	}
	r.revision = update.Revision
	present := make(map[ryeford.EndpointID]bool, len(update.Present))
	for _, endpoint := range update.Present {
		present[endpoint.ID] = true
		r.put(now, endpoint, &change)
	}
	for _, name := range update.Removed {
		r.markUnlisted(now, r.incarnations[name], suspectUntil, &change)
	}
	if update.Snapshot {
		for id, entry := range r.entries {
			if !present[id] && !entry.Status.expires() {
				r.markUnlisted(now, id, suspectUntil, &change)
			}
		}
	}
	r.loaded = true
	r.rebuildIndex()
	return change
}

// put enters an endpoint that the list names.
func (r *Roster) put(now time.Time, endpoint ryeford.Endpoint, change *Change) {
	withheld := r.withholds(now, &endpoint)
	if incarnation, known := r.incarnations[endpoint.ID.Name()]; withheld && known && incarnation != endpoint.ID {
		return // the copy has an earlier life, and lacks the one that is known
	}
	r.endIncarnation(now, endpoint.ID, change)
	old := r.entries[endpoint.ID]
	entry := &Entry{Endpoint: endpoint, Status: r.statusOf(&endpoint), Hash: route.NameHash(string(endpoint.ID)),
		Evacuated: r.evacuated[endpoint.FailureDomain], Returned: r.evacuationEnded[endpoint.FailureDomain]}
	switch {
	case old != nil:
		entry.FirstSeen = old.FirstSeen
	case r.loaded:
		entry.FirstSeen = now
	}
	if withheld {
		entry.Status, entry.withheld = StatusDraining, true
		change.Withheld = append(change.Withheld, endpoint.ID)
	} else if endpoint.State == ryeford.EndpointDraining {
		r.recordDraining(now, &endpoint)
	}
	if old != nil && old.Endpoint.SaysSame(&endpoint) {
		entry.ColdUntil = old.ColdUntil // the same word again
	} else if endpoint.Cold > 0 {
		entry.ColdUntil = now.Add(endpoint.Cold)
	}
	if old == nil {
		change.Added = append(change.Added, endpoint.ID)
	}
	if entry.Status == StatusDraining && (old == nil || old.Status.accepts()) {
		change.Drained = append(change.Drained, endpoint.ID)
	}
	r.entries[endpoint.ID] = entry
}

// endIncarnation forgets another life of an endpoint of which the list names a life from now on: nothing is
// left of it, and it may be later or earlier by the clock of the endpoint's VM.
func (r *Roster) endIncarnation(now time.Time, id ryeford.EndpointID, change *Change) {
	name := id.Name()
	if other, known := r.incarnations[name]; known && other != id {
		delete(r.entries, other)
		r.recordGone(now, other)
		change.Dropped = append(change.Dropped, other)
		change.Restarted = append(change.Restarted, id)
	}
	r.incarnations[name] = id
}

// remove drops an endpoint.
func (r *Roster) remove(id ryeford.EndpointID) {
	delete(r.entries, id)
	if name := id.Name(); r.incarnations[name] == id {
		delete(r.incarnations, name)
	}
}

// markUnlisted gives its new status to an endpoint that the list no longer names.
func (r *Roster) markUnlisted(now time.Time, id ryeford.EndpointID, suspectUntil time.Time, change *Change) {
	entry := r.entries[id]
	if entry == nil {
		return
	}
	expires := suspectUntil
	status := droppedStatus(entry.Status, now.Before(suspectUntil))
	if status != StatusSuspect {
		r.recordGone(now, id)
	}
	switch status {
	case StatusSuspect:
		change.Suspected = append(change.Suspected, id)
	case StatusDeparted:
		change.Departed = append(change.Departed, id)
		expires = now.Add(departedTTL)
	default:
		r.remove(id)
		change.Dropped = append(change.Dropped, id)
		return
	}
	kept := *entry // callers may hold the old one
	kept.Status = status
	kept.expires = expires
	r.entries[id] = &kept
}

// Expire forgets the endpoints that have been off the list for their time, and takes those back that
// were withheld for theirs. It returns both.
func (r *Roster) Expire(now time.Time) (expired, released []ryeford.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, entry := range r.entries {
		if entry.Status.expires() && now.After(entry.expires) {
			if entry.Status == StatusSuspect {
				r.recordGone(now, id)
			}
			r.remove(id)
			expired = append(expired, id)
		}
	}
	released = r.release(now)
	if expired != nil || released != nil {
		r.rebuildIndex()
	}
	return expired, released
}

// UntilExpiry returns how long it is until Expire has an endpoint to forget, but most at
// most.
func (r *Roster) UntilExpiry(now time.Time, limit time.Duration) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, entry := range r.entries {
		if entry.Status.expires() {
			limit = min(limit, entry.expires.Sub(now)+1) // Expire wants the time to be over
		}
		if entry.withheld {
			limit = min(limit, r.withholdUntil.Sub(now))
		}
	}
	return limit
}

// rebuildIndex builds the lists by service anew; lists that were handed out stay as they
// are.
func (r *Roster) rebuildIndex() {
	r.serving = make(map[string][]*Entry)
	r.draining = make(map[string][]*Entry)
	r.accepting = make(map[string]int)
	for _, entry := range r.entries {
		if entry.Accepts() {
			r.accepting[entry.Service]++
		}
		lists := r.draining
		if entry.Status.accepts() {
			lists = r.serving
		}
		lists[entry.Service] = append(lists[entry.Service], entry)
	}
	for _, lists := range []map[string][]*Entry{r.serving, r.draining} {
		for _, entries := range lists {
			slices.SortFunc(entries, func(a, b *Entry) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
}
