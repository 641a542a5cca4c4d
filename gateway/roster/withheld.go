package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
)

// Endpoints that are withheld after the source was restored from a backup.
//
// Rule: an endpoint that this router or a peer has recorded as leaving or gone gets no requests, although the
// restored list has it as ready, for withholdDuration after the router noticed the restore. It gets requests
// sooner if its entry belongs to another incarnation, was written after its announcement, or was written
// after the router noticed the restore.
//
// Why: the backup is older than the endpoint's announcement or removal. A live endpoint writes its entry again
// with its next heartbeat, and the entry of a dead one expires. After that the list is right again, so that no
// endpoint is withheld for good.

const (
	// withholdDuration covers three heartbeats of 1.2 s, after which the entry of a dead endpoint has expired, and
	// the time to read that.
	withholdDuration = 5 * time.Second
	// departureRecordTTL is how long departures are recorded. It exceeds the usual age of a backup.
	departureRecordTTL = time.Minute
	// maxDepartureRecords bounds the memory for departures.
	maxDepartureRecords = 4096
)

// A departure records that an incarnation of an endpoint is leaving or gone.
type departure struct {
	at time.Time // when the router was notified
	// sequence is the sequence of the announcement; it is not used if the endpoint is gone.
	sequence int64
	gone     bool
}

// overrides reports whether the departure takes precedence over a ready entry from a backup.
func (d *departure) overrides(endpoint *ryeford.Endpoint) bool {
	return d.gone || endpoint.Sequence <= d.sequence
}

// recordDraining records that an endpoint has announced that it is leaving.
func (r *Roster) recordDraining(now time.Time, endpoint *ryeford.Endpoint) {
	r.recordDeparture(endpoint.ID, departure{at: now, sequence: endpoint.Sequence})
}

// recordGone records that the entry of an endpoint was removed.
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

// expireDepartures removes departures that are older than departureRecordTTL.
func (r *Roster) expireDepartures(now time.Time) {
	for id, d := range r.departures {
		if now.Sub(d.at) > departureRecordTTL {
			delete(r.departures, id)
		}
	}
}

// withholds reports whether a listed endpoint is withheld. If a ready endpoint is not, its departure is
// removed, because its entry is newer.
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

// startWithholding starts the withholding period after a restore of the source. at is the source's revision
// when this router noticed the restore.
func (r *Roster) startWithholding(now time.Time, at ryeford.Revision) {
	r.withholdUntil, r.restoreRevision, r.withholdEra = now.Add(withholdDuration), at, at.Era()
	r.expireDepartures(now)
}

// acceptsPeerReport reports whether a peer's report of withheld endpoints is accepted now. remaining is the
// remaining time of the peer's withholding period. A peer's report starts a period at most once in an era:
// delayed or reordered messages would otherwise extend it without end.
func (r *Roster) acceptsPeerReport(now time.Time, remaining time.Duration) bool {
	starts := r.withholdUntil.IsZero() || r.loaded && r.revision.Era() > r.withholdEra
	if starts {
		r.withholdUntil = now.Add(min(remaining, withholdDuration))
		r.restoreRevision, r.withholdEra = r.revision, r.revision.Era()
	}
	return now.Before(r.withholdUntil)
}

// Withheld returns the withheld endpoints, up to limit, and the remaining time of the withholding period.
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

// Withhold applies a peer's report of withheld endpoints and of the remaining time of its withholding period.
// It returns the endpoints that this router withholds only since this report.
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
		changed := *entry // callers may hold the old entry
		changed.Status, changed.withheld = StatusDraining, true
		r.entries[w.ID] = &changed
		added = append(added, w.ID)
	}
	r.rebuildIndex()
	return added
}

// release ends the withholding of endpoints once the period is over, and returns them.
func (r *Roster) release(now time.Time) []ryeford.EndpointID {
	if now.Before(r.withholdUntil) {
		return nil
	}
	var released []ryeford.EndpointID
	for id, entry := range r.entries {
		if !entry.withheld {
			continue
		}
		changed := *entry // callers may hold the old entry
		changed.Status, changed.withheld = r.statusOf(&entry.Endpoint), false
		r.entries[id] = &changed
		delete(r.departures, id)
		released = append(released, id)
	}
	return released
}
