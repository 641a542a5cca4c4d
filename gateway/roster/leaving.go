package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// What an endpoint says of its leaving with its own responses.
//
// Rule: an endpoint that has said with a response that it leaves accepts no requests for the rest of that
// life, whatever a list, a restored source or a peer says of it, and however long that takes.
//
// Why: the response is the endpoint's own word, and may come long before the list has it, or instead of
// that. A list that has it as ready, of any sequence, is the older word: nothing takes back that an
// endpoint leaves.

const (
	// maxLeaving bounds the memory for endpoints that have said so, as far as they are off the list.
	maxLeaving = 4096
	// leavingEvictionBatch is how many of them are forgotten at once, so that it is seldom.
	leavingEvictionBatch = maxLeaving / 4
	// leavingGossipWindow is for how long all messages name an endpoint from when this router learnt of it: each
	// router learns of a life once, so that the word ends.
	leavingGossipWindow = 3 * time.Second
)

// Leave takes that an endpoint has said with a response, to this router or to a peer, that it leaves, and
// reports whether that is new.
func (r *Roster) Leave(now time.Time, id ryeford.EndpointID) bool {
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
	changed := *entry // callers may hold the old one
	changed.Status, changed.withheld = StatusDraining, false
	r.entries[id] = &changed
	r.rebuildIndex()
	return true
}

// LatelyLeaving returns the endpoints of which this router learnt a short time ago that they leave, the latest
// first, at most some.
func (r *Roster) LatelyLeaving(now time.Time, limit int) []ryeford.EndpointID {
	return r.LeavingSince(now.Add(-leavingGossipWindow), limit)
}

// LeavingSince returns the endpoints of which this router has learnt since a time that they leave, the latest
// first, at most some.
func (r *Roster) LeavingSince(since time.Time, limit int) []ryeford.EndpointID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.lastLeaving.Before(since) {
		return nil // as almost always
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

// evictLeaving forgets that some endpoints leave which are off the list: those that have said so first.
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

// statusOf returns the status of an endpoint that the list names.
func (r *Roster) statusOf(endpoint *ryeford.Endpoint) Status {
	if _, leaving := r.leaving[endpoint.ID]; leaving {
		return StatusDraining
	}
	return listedStatus(endpoint.State)
}
