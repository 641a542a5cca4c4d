// Package roster holds one router's view of the endpoints. It combines the platform's list with what
// endpoints report about leaving, and keeps endpoints that were removed from the list for a short time. An
// endpoint whose address belongs to a later one gets no requests.
//
// It determines the status of each endpoint. The caller passes in list updates, in any order (an update
// older than the last one is ignored), and endpoint status reports, and calls Expire. The package does no
// I/O. The rules and their constants are in status.go (removed endpoints), leaving.go,
// replaced.go and withheld.go.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// A Roster is one router's list of endpoints. It is safe for concurrent use.
type Roster struct {
	mu           sync.RWMutex
	entries      map[ryeford.EndpointID]*Entry
	incarnations map[ryeford.EndpointID]ryeford.EndpointID // the current incarnation, by name
	serving      map[string][]*Entry                       // by service, sorted by ID: accepting or only evacuated
	draining     map[string][]*Entry                       // by service, sorted by ID: all others
	accepting    map[string]int                            // by service: number that accept requests
	loaded       bool
	revision     ryeford.Revision

	domains         map[string]bool      // failure domains that have or had endpoints on the list
	evacuated       map[string]bool      // by failure domain
	evacuationEnded map[string]time.Time // by failure domain: end of the last evacuation

	departures map[ryeford.EndpointID]departure // incarnations that are leaving or gone
	// leaving holds when each incarnation was recorded as leaving because of its own report.
	leaving     map[ryeford.EndpointID]time.Time
	lastLeaving time.Time // the latest time in leaving
	// misdirected are incarnations whose address has responded as another endpoint.
	misdirected map[ryeford.EndpointID]bool
	// withholdUntil is when departures stop overriding entries written up to restoreRevision.
	withholdUntil   time.Time
	restoreRevision ryeford.Revision
	withholdEra     int64 // the era in which withholdUntil was set
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		entries:         make(map[ryeford.EndpointID]*Entry),
		incarnations:    make(map[ryeford.EndpointID]ryeford.EndpointID),
		domains:         make(map[string]bool),
		evacuated:       make(map[string]bool),
		evacuationEnded: make(map[string]time.Time),
		departures:      make(map[ryeford.EndpointID]departure),
		leaving:         make(map[ryeford.EndpointID]time.Time),
		misdirected:     make(map[ryeford.EndpointID]bool),
	}
}

// A Change holds the IDs of the endpoints whose status an update has changed.
type Change struct {
	Added, Draining, Dropped, Suspected, Departed []ryeford.EndpointID
	// Withheld endpoints are listed as ready but get no requests.
	Withheld []ryeford.EndpointID
	// Restarted holds the new incarnations of endpoints; each earlier incarnation is in Dropped.
	Restarted []ryeford.EndpointID
}

// Empty reports whether nothing has changed.
func (c *Change) Empty() bool {
	return len(c.Added)+len(c.Draining)+len(c.Dropped)+len(c.Suspected)+len(c.Departed)+len(c.Withheld) == 0
}

// Apply applies an update, unless it is older than the last one. Before suspectUntil (see SuspectUntil)
// an endpoint that the update removes becomes suspect; zero makes none suspect.
func (r *Roster) Apply(now time.Time, update *ryeford.EndpointUpdate, suspectUntil time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var change Change
	if update.Revision < r.revision {
		return change
	}
	switch {
	case !r.loaded:
		// Reports of withheld endpoints that peers sent before this first list apply to it.
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

// put adds or updates a listed endpoint.
func (r *Roster) put(now time.Time, endpoint ryeford.Endpoint, change *Change) {
	r.domains[endpoint.FailureDomain] = true
	withheld := r.withholds(now, &endpoint)
	if incarnation, known := r.incarnations[endpoint.ID.Name()]; withheld && known && incarnation != endpoint.ID {
		return // the backup has an earlier incarnation than the roster
	}
	r.endIncarnation(now, endpoint.ID, change)
	old := r.entries[endpoint.ID]
	entry := &Entry{Endpoint: endpoint, Status: r.statusOf(&endpoint), Hash: route.NameHash(string(endpoint.ID)),
		Evacuated: r.evacuated[endpoint.FailureDomain], EvacuationEnded: r.evacuationEnded[endpoint.FailureDomain]}
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
	if old != nil && old.Endpoint.Equal(&endpoint) {
		entry.ColdUntil = old.ColdUntil // unchanged entry: the cold period goes on
	} else if endpoint.Cold > 0 {
		entry.ColdUntil = now.Add(endpoint.Cold)
	}
	if old == nil {
		change.Added = append(change.Added, endpoint.ID)
	}
	if entry.Status == StatusDraining && (old == nil || old.Status.accepts()) {
		change.Draining = append(change.Draining, endpoint.ID)
	}
	r.entries[endpoint.ID] = entry
}

// endIncarnation removes any other incarnation of an endpoint that the list now has with the incarnation id.
// The removed one may have the later start time, since the clock of the endpoint's VM can step back.
func (r *Roster) endIncarnation(now time.Time, id ryeford.EndpointID, change *Change) {
	name := id.Name()
	if other, known := r.incarnations[name]; known && other != id {
		delete(r.entries, other)
		delete(r.misdirected, other)
		r.recordGone(now, other)
		change.Dropped = append(change.Dropped, other)
		change.Restarted = append(change.Restarted, id)
	}
	r.incarnations[name] = id
}

func (r *Roster) remove(id ryeford.EndpointID) {
	delete(r.entries, id)
	delete(r.misdirected, id)
	if name := id.Name(); r.incarnations[name] == id {
		delete(r.incarnations, name)
	}
}

// markUnlisted sets the status of an endpoint that is no longer listed.
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
	kept := *entry // callers may hold the old entry
	kept.Status = status
	kept.expires = expires
	r.entries[id] = &kept
}

// Expire removes the unlisted endpoints whose time is up, and releases withheld endpoints once
// withholding ends. It returns both.
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

// UntilExpiry returns the time until Expire is next due, at most limit.
func (r *Roster) UntilExpiry(now time.Time, limit time.Duration) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, entry := range r.entries {
		if entry.Status.expires() {
			limit = min(limit, entry.expires.Sub(now)+1) // Expire removes an entry only after this time
		}
		if entry.withheld {
			limit = min(limit, r.withholdUntil.Sub(now))
		}
	}
	return limit
}

// rebuildIndex rebuilds the lists by service. It leaves lists that were returned earlier unchanged.
func (r *Roster) rebuildIndex() {
	r.markReplaced()
	r.serving = make(map[string][]*Entry)
	r.draining = make(map[string][]*Entry)
	r.accepting = make(map[string]int)
	for _, entry := range r.entries {
		if entry.Replaced {
			continue
		}
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
