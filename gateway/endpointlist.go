package gateway

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/backoff"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/watch"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

const (
	// minRetryPause is the pause after the first failure of the list's source, before jitter. It
	// doubles with each consecutive failure up to maxRetryPause, or to a higher limit in a large
	// fleet.
	minRetryPause = 60 * time.Millisecond
	// maxRetryPause limits the pause after a failure, so that the return of the source is noticed
	// soon.
	maxRetryPause = 400 * time.Millisecond
)

// An endpointRemover keeps per-endpoint state that is removed together with the endpoint.
type endpointRemover interface {
	Remove(id ryeford.EndpointID)
}

// An endpointList keeps the roster in sync with the platform's list of endpoints, and removes an
// endpoint's state when the endpoint is gone. It reads the list from its source in this router's time
// slot (package replica), and otherwise from peers.
type endpointList struct {
	source ryeford.EndpointSource
	limits replica.Limits
	// settle is the pause after a change.
	settle          time.Duration
	recoveryTimeout time.Duration // after an outage, until the router's guarantees hold again
	copy            *replica.Replica
	lease           *freshness.Lease // tracks the age of the copy
	clock           *freshness.SourceClock
	peers           *peers.Table
	reader          *peerReader
	startup         *startup

	revision *storeRevision // the newest revision of the store, across all of its tables
	roster   *roster.Roster
	backoffs *backoff.Table
	pool     *endpoint.Pool
	streams  *streams
	removers []endpointRemover // remove the state of an endpoint that is gone
	outage   *watch.Outage
	onUpdate func() // called after each update
	log      log.Logger
	metrics  *telemetry.Set

	// sweepDue holds one entry if sweep must recompute its next deadline.
	sweepDue chan struct{}
	// newerCopy holds a peer whose copy contains changes that this router lacks.
	newerCopy chan peerCopy

	mu sync.Mutex // held while changes are applied
	// suspectUntil is the time until which endpoints that are missing from the list may still be
	// alive, and are kept as suspect (package roster).
	suspectUntil time.Time
	// lastFailedRead is when the last failed read of the source was sent.
	lastFailedRead time.Time
	malformed      map[ryeford.EndpointID]bool // names of malformed entries that have been logged
	// fullReadAt is when this router last read the full list. The revision of the newest change in
	// such a copy is unknown: it may be any up to that of the copy. It is zero once that revision is
	// known, or enough time has passed.
	fullReadAt time.Time
	// skipped are peers whose copies lack software versions, with the times of the last reads.
	skipped map[netip.AddrPort]time.Time
}

// run follows the list of endpoints until ctx is done.
func (l *endpointList) run(ctx context.Context) error {
	watch.Run(ctx, l.source, watch.Options{
		NextPoll:      l.nextPoll,
		KnownRevision: func() ryeford.Revision { return l.copy.Range().To },
		SettleDelay:   l.settle,
		MinPause:      minRetryPause,
		MaxPause:      func() time.Duration { return replica.MaxPause(maxRetryPause, l.peers.Alive(clock.Now())) },
		OnSend:        func(full bool) { l.metrics.Count("ryeford_store_calls_total", causeOf(full)) },
		OnFailure:     l.recordSourceFailure,
	}, l.applySource, l.outage)
	return nil
}

// The causes by which calls of the store are counted.
const (
	causeConfiguration = "configuration"
	causeEndpoints     = "endpoints"       // changes to the list of endpoints
	causeAllEndpoints  = "endpoints_whole" // the full list of endpoints
	causeRouters       = "routers"         // the list of routers, and this router's entry in it
)

func causeOf(full bool) string {
	if full {
		return causeAllEndpoints
	}
	return causeEndpoints
}

// nextPoll returns the time until this router reads the source, and how long the source may hold the
// read.
func (l *endpointList) nextPoll(now time.Time) (untilRead, hold time.Duration) {
	age, known := l.lease.Age(now)
	confirmed, _ := l.lease.Confirmed()
	rank, alive := l.peers.Rank(now, freshness.TimeSlot(confirmed))
	switch {
	case !known:
		return l.startup.untilStoreRead(now, alive), 0
	case !l.copy.Range().IsSet(): // the source has never been written to
		return replica.MaxPause(maxRetryPause, alive) - age, 0
	}
	if l.startup.joining(now) {
		rank = max(rank, replica.FirstFallbackRank)
	}
	schedule := l.limits.Schedule(rank, alive)
	if age >= l.limits.Hold {
		return schedule.Age - age, 0
	}
	return schedule.Age - age, schedule.Hold
}

// recordSourceFailure records the failure of a read of the source that was sent at sent.
func (l *endpointList) recordSourceFailure(sent time.Time) {
	l.revision.recordFailure()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFailedRead = sent
}

// applySource applies the source's answer to a read, sent at sent, of the changes since a revision. It
// reports whether the answer contains any change.
func (l *endpointList) applySource(update *ryeford.EndpointUpdate, since ryeford.Revision, sent time.Time) bool {
	l.revision.recordAnswer(update.Revision)
	l.logMalformed(update)
	changes := replica.FromSource(update, since)
	l.mu.Lock()
	switch {
	case update.Snapshot:
		l.fullReadAt = sent
	case !changes.Empty() || sent.Sub(l.fullReadAt) > replica.JoinDuration:
		l.fullReadAt = time.Time{}
	}
	l.markOutageEnd(clock.Now(), update.Revision.Era())
	l.mu.Unlock()
	if !l.apply(&changes, "source") {
		return false
	}
	// Renewed only after applying: what peers receive as confirmed must have been applied.
	l.lease.RenewRead(sent, update.ResponseStarted, update.Clock)
	l.recordConfirmation()
	return len(update.Present)+len(update.Removed) > 0
}

// markOutageEnd sets suspectUntil at the end of an outage. It must be called before the lease is
// renewed and before the changes, which are of the given era, are applied. After an outage the list
// may lack endpoints that are alive. It counts as an outage only if a local read failed:
// otherwise the source may have been answering other routers. A restore of the store counts as well.
// l.mu is held.
func (l *endpointList) markOutageEnd(now time.Time, era int64) {
	age, known := l.lease.Age(now)
	if !known {
		return
	}
	downtime := ryeford.Downtime{Began: now.Add(-age), LastFailed: l.lastFailedRead, Ended: now}
	localReadFailed := !l.lastFailedRead.Before(downtime.Began)
	switch {
	case l.isLaterEra(era):
		if !localReadFailed {
			downtime.LastFailed = downtime.Began // the source was still in the previous era
		}
		l.suspectUntil = roster.SuspectUntilAfterRestore(&downtime, l.recoveryTimeout)
	case l.limits.Outage(age) && localReadFailed:
		l.suspectUntil = roster.SuspectUntil(&downtime, l.recoveryTimeout)
	}
}

// isLaterEra reports whether an era is later than that of the copy.
func (l *endpointList) isLaterEra(era int64) bool {
	at := l.copy.Range()
	return at.IsSet() && era > at.To.Era()
}

// renewFromPeer renews the lease with a peer's confirmation, if it is newer, after apply has applied
// changes of the given era.
func (l *endpointList) renewFromPeer(confirmed time.Duration, era int64, apply func() bool) {
	l.mu.Lock()
	if local, known := l.lease.Confirmed(); !known || confirmed > local || l.isLaterEra(era) {
		l.markOutageEnd(clock.Now(), era)
	}
	l.mu.Unlock()
	if apply() {
		l.lease.RenewFromPeer(clock.Now(), confirmed)
		l.recordConfirmation()
	}
}

// recordConfirmation records as of when the versions of the listed endpoints are known.
func (l *endpointList) recordConfirmation() {
	now := clock.Now()
	if age, known := l.lease.Age(now); known {
		l.streams.history.Confirm(now.Add(-age))
	}
}

// apply applies changes to the copy and then to the roster, and reports whether the copy includes
// them.
//
// An endpoint that is missing shortly after an outage may be alive: its entry may have expired because
// the endpoint could not reach the store either.
func (l *endpointList) apply(changes *replica.Changes, from string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	followed := l.copy.Follows(changes)
	if result := l.copy.Apply(changes); result != replica.Applied {
		_ = l.log.Log("decision", "endpoints", "applied", false, "from", from, "since", changes.Since, "revision", changes.Range.To, "known", l.copy.Range().To, "gap", result == replica.Gap)
		return false
	}
	now := clock.Now()
	change := l.roster.Apply(now, &ryeford.EndpointUpdate{
		Snapshot: changes.Snapshot, Present: changes.Present, Removed: changes.Removed, Revision: changes.Range.To,
	}, l.suspectUntil)
	l.streams.update(now, l.roster, followed)
	l.onUpdate()
	for range change.Restarted {
		l.metrics.Count("ryeford_restarted_endpoints_total", "")
	}
	if !change.Empty() {
		// The log keys are kept for compatibility: troubled means that an outage has just ended,
		// doubted lists the endpoints that became suspect.
		_ = l.log.Log("decision", "endpoints", "from", from, "revision", changes.Range.To, "whole", changes.Snapshot, "troubled", now.Before(l.suspectUntil),
			"added", join(change.Added), "draining", join(change.Draining), "dropped", join(change.Dropped), "doubted", join(change.Suspected), "departed", join(change.Departed), "restarted", join(change.Restarted), "withheld", join(change.Withheld), "known", l.roster.Len())
		for _, id := range change.Dropped {
			l.removeState(id)
		}
	}
	if len(change.Suspected)+len(change.Departed)+len(change.Withheld) > 0 {
		l.triggerSweep()
	}
	return true
}

// join returns endpoint IDs separated by commas, for the log.
func join(ids []ryeford.EndpointID) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return strings.Join(texts, ",")
}
