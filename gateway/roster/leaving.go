package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// Endpoints that report in their responses that they are leaving.
//
// Rule: an endpoint that has reported in a response that it is leaving accepts no requests for the rest
// of that incarnation, whatever the list, a restored source or a peer states later.
//
// Why: the report comes from the endpoint itself and may precede its list entry or replace it. Leaving is
// final, so a list that has the endpoint as ready is out of date, whatever its sequence.

const (
	// maxLeaving is the number of records above which records of unlisted endpoints are evicted.
	maxLeaving = 4096
	// leavingEvictionBatch is the number of records that are evicted at once, so that evictions are rare.
	leavingEvictionBatch = maxLeaving / 4
	// leavingGossipWindow is how long an endpoint is included in all messages to peers, from when this
	// router was notified. Each router records an incarnation once, so that the updates die out.
	leavingGossipWindow = 3 * time.Second
)

// MarkLeaving records that an endpoint has reported, in a response to this router or to a peer, that it
// is leaving. It reports whether that is new.
func (r *Roster) MarkLeaving(now time.Time, id ryeford.EndpointID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.leaving[id]; known {
		return false
	}
	r.leaving[id], r.lastLeaving = now, now
	if len(r.leaving) > maxLeaving {
		r.evictLeaving()
	}
	entry := r.entries[id]
	if entry == nil || !entry.Status.accepts() {
		return true
	}
	changed := *entry // callers may hold the old entry
	changed.Status, changed.withheld = StatusDraining, false
	r.entries[id] = &changed
	r.rebuildIndex()
	return true
}

// RecentlyLeaving returns the endpoints that were recorded as leaving within leavingGossipWindow, the
// latest first, up to limit.
func (r *Roster) RecentlyLeaving(now time.Time, limit int) []ryeford.EndpointID {
	return r.LeavingSince(now.Add(-leavingGossipWindow), limit)
}

// LeavingSince returns the endpoints that were recorded as leaving at or after a time, the latest first,
// up to limit.
func (r *Roster) LeavingSince(since time.Time, limit int) []ryeford.EndpointID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.lastLeaving.Before(since) {
		return nil
	}
	var leaving []ryeford.EndpointID
	for id, at := range r.leaving {
		if !at.Before(since) {
			leaving = append(leaving, id)
		}
	}
	slices.SortFunc(leaving, func(a, b ryeford.EndpointID) int {
		return cmp.Or(r.leaving[b].Compare(r.leaving[a]), cmp.Compare(a, b))
	})
	return leaving[:min(len(leaving), limit)]
}

// evictLeaving removes the oldest records of endpoints that are not listed.
func (r *Roster) evictLeaving() {
	var unlisted []ryeford.EndpointID
	for id := range r.leaving {
		if r.entries[id] == nil {
			unlisted = append(unlisted, id)
		}
	}
	slices.SortFunc(unlisted, func(a, b ryeford.EndpointID) int {
		return cmp.Or(r.leaving[a].Compare(r.leaving[b]), cmp.Compare(a, b))
	})
	for _, id := range unlisted[:min(len(unlisted), leavingEvictionBatch)] {
		delete(r.leaving, id)
	}
}

// statusOf returns the status of a listed endpoint.
func (r *Roster) statusOf(endpoint *ryeford.Endpoint) Status {
	if _, leaving := r.leaving[endpoint.ID]; leaving {
		return StatusDraining
	}
	return listedStatus(endpoint.State)
}
