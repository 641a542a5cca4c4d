package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// What a router knows of endpoints that leave, when the source comes back from a copy.
//
// Rule: an endpoint that this router, or a peer, knows to leave or to be gone is sent nothing though
// the copy has it as ready, until withholdTime after the router learnt of the restore, unless what
// the list has was written in another life of the endpoint, after its announcement, or after the
// router learnt of the restore.
//
// Why: the copy was made before the endpoint announced that it leaves, or before its entry went. An
// endpoint that lives writes again with its next heartbeat, and the entry of one that doesn't lapses:
// from then on the list is right by itself, and nothing stays out for good.

const (
	// withholdDuration is for three heartbeats of 1.2 s, after which the entry of an endpoint that has ended
	// is gone, and for reading that.
	withholdDuration = 5 * time.Second
	// departureRecordTTL is how long it is remembered that an endpoint has left: copies are some seconds old.
	departureRecordTTL = time.Minute
	// maxDepartureRecords bounds the memory for endpoints that have left.
	maxDepartureRecords = 4096
)

// A departure is that a life of an endpoint leaves or is gone.
type departure struct {
	at time.Time // when the router learnt of it
	// sequence is that of the announcement, unless the entry is gone.
	sequence int64
	gone     bool
}

// overrides reports whether an endpoint leaves though a copy of the list has it as ready.
func (d *departure) overrides(endpoint *ryeford.Endpoint) bool {
	return d.gone || endpoint.Sequence <= d.sequence
}

// recordDraining remembers that an endpoint has announced that it leaves.
func (r *Roster) recordDraining(now time.Time, endpoint *ryeford.Endpoint) {
	r.recordDeparture(endpoint.ID, departure{at: now, sequence: endpoint.Sequence})
}

// recordGone remembers that the entry of an endpoint is gone.
func (r *Roster) recordGone(now time.Time, id ryeford.EndpointID) {
	r.recordDeparture(id, departure{at: now, gone: true})
}

func (r *Roster) recordDeparture(id ryeford.EndpointID, d departure) {
	if len(r.departures) >= maxDepartureRecords {
		r.expireDepartures(d.at)
	}
	if len(r.departures) >= maxDepartureRecords {
		clear(r.departures)
	}
	r.departures[id] = d
}

// expireDepartures forgets the endpoints that left long ago.
func (r *Roster) expireDepartures(now time.Time) {
	for id, d := range r.departures {
		if now.Sub(d.at) > departureRecordTTL {
			delete(r.departures, id)
		}
	}
}

// withholds reports whether an endpoint that the list has as ready is sent nothing. What is known of
// its leaving is forgotten otherwise: its own entry is newer.
func (r *Roster) withholds(now time.Time, endpoint *ryeford.Endpoint) bool {
	d, known := r.departures[endpoint.ID]
	if !known || endpoint.State != ryeford.EndpointReady {
		return false
	}
	fromBackup := endpoint.Written <= r.restoreRevision
	if fromBackup && now.Before(r.withholdUntil) && d.overrides(endpoint) {
		return true
	}
	delete(r.departures, endpoint.ID)
	return false
}

// startWithholding takes that the source is back from a copy, and was at a revision when this router learnt
// of it.
func (r *Roster) startWithholding(now time.Time, at ryeford.Revision) {
	r.withholdUntil, r.restoreRevision, r.withholdEra = now.Add(withholdDuration), at, at.Era()
	r.expireDepartures(now)
}

// acceptsPeerReport reports whether what peers withhold counts now, for as long as they say. It does for a time
// that is opened once in an era: messages that are late, and pass each other, would extend it without end.
func (r *Roster) acceptsPeerReport(now time.Time, remaining time.Duration) bool {
	starts := r.withholdUntil.IsZero() || r.loaded && r.revision.Era() > r.withholdEra
	if starts {
		r.withholdUntil = now.Add(min(remaining, withholdDuration))
		r.restoreRevision, r.withholdEra = r.revision, r.revision.Era()
	}
	return now.Before(r.withholdUntil)
}

// Withheld returns the endpoints that are sent nothing though the list has them as ready, at most some,
// and for how long.
func (r *Roster) Withheld(now time.Time, limit int) (withheld []ryeford.WithheldEndpoint, remaining time.Duration) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	remaining = r.withholdUntil.Sub(now)
	if remaining <= 0 {
		return nil, 0
	}
	for id, entry := range r.entries {
		if entry.withheld {
			d := r.departures[id]
			withheld = append(withheld, ryeford.WithheldEndpoint{ID: id, Sequence: d.sequence, Gone: d.gone})
		}
	}
	slices.SortFunc(withheld, func(a, b ryeford.WithheldEndpoint) int { return cmp.Compare(a.ID, b.ID) })
	return withheld[:min(len(withheld), limit)], remaining
}

// Withhold takes from a peer which endpoints are sent nothing, and for how long, and returns those of
// which this router didn't know it.
func (r *Roster) Withhold(now time.Time, withheld []ryeford.WithheldEndpoint, remaining time.Duration) []ryeford.EndpointID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(withheld) == 0 || remaining <= 0 || !r.acceptsPeerReport(now, remaining) {
		return nil
	}
	var added []ryeford.EndpointID
	for _, w := range withheld {
		if _, known := r.departures[w.ID]; known {
			continue
		}
		r.recordDeparture(w.ID, departure{at: now, sequence: w.Sequence, gone: w.Gone})
		entry := r.entries[w.ID]
		if entry == nil || !entry.Status.accepts() || !r.withholds(now, &entry.Endpoint) {
			continue
		}
		changed := *entry // callers may hold the old one
		changed.Status, changed.withheld = StatusDraining, true
		r.entries[w.ID] = &changed
		added = append(added, w.ID)
	}
	r.rebuildIndex()
	return added
}

// release takes the endpoints back that were withheld, once that is over, and returns them.
func (r *Roster) release(now time.Time) []ryeford.EndpointID {
	if now.Before(r.withholdUntil) {
		return nil
	}
	var released []ryeford.EndpointID
	for id, entry := range r.entries {
		if !entry.withheld {
			continue
		}
		changed := *entry // callers may hold the old one
		changed.Status, changed.withheld = r.statusOf(&entry.Endpoint), false
		r.entries[id] = &changed
		delete(r.departures, id)
		released = append(released, id)
	}
	return released
}
