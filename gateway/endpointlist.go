package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/gateway/rest"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/watch"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

const (
	// minRetryPause is the pause after a first failure of the list's source, before
	// jitter; it doubles with each failure in a row up to maxFeedPause, or more in a large
	// fleet.
	minRetryPause = 60 * time.Millisecond
	// maxRetryPause bounds the pause after a failure. At 0.5 s the return of a source was
	// noticed late.
	maxRetryPause = 400 * time.Millisecond
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = 500 * time.Millisecond
)

// A endpointRemover keeps something of each endpoint, which ends with the endpoint.
type endpointRemover interface {
	Forget(id ryeford.EndpointID)
}

// An endpointList keeps the roster as the platform's list of endpoints says, and
// drops what the router knows of an endpoint together with the endpoint. It reads the list's
// source when it is this router's turn (package replica), and else learns from peers.
type endpointList struct {
	source ryeford.EndpointSource
	limits replica.Limits
	// settle is the pause after a change.
	settle          time.Duration
	recoveryTimeout time.Duration // until the router is held to its bounds after an outage
	copy            *replica.Replica
	lease           *freshness.Lease // how old the copy is
	clock           *freshness.SourceClock
	peers           *peers.Table
	reader          *peerReader
	start           *start

	revision *storeRevision // the newest of the store, on any of its tables
	roster   *roster.Roster
	backoffs *rest.Table
	pool     *endpoint.Pool
	removers []endpointRemover // forget an endpoint that is gone
	outage   *watch.Outage
	onUpdate func() // called after each update
	log      log.Logger
	metrics  *telemetry.Set

	// sweepDue holds one entry if endpoints have left the list that sweep must forget.
	sweepDue chan struct{}
	// newerCopy holds a peer, if one has a copy that holds changes which this router lacks.
	newerCopy chan peerCopy

	mu sync.Mutex // held while changes are applied
	// suspectUntil is until when endpoints that the list drops may be alive (package
	// roster).
	suspectUntil time.Time
	// lastFailedRead is when the last read of the source that lastFailedRead was sent.
	lastFailedRead time.Time
	malformed      map[ryeford.EndpointID]bool // names of entries that can't be read, as they were logged
	// wholeReadAt is when the copy was read wholeReadAt by this router, whose newest change then may be of any
	// revision up to its own; zero if it is known, or has been read on for long enough.
	wholeReadAt time.Time
}

// run follows the list of endpoints until ctx ends.
func (l *endpointList) run(ctx context.Context) error {
	watch.Run(ctx, l.source, watch.Options{
		Turn:     l.timeSlot,
		Known:    func() ryeford.Revision { return l.copy.Range().To },
		Settle:   l.settle,
		MinPause: minRetryPause,
		MaxPause: func() time.Duration { return replica.MaxPause(maxRetryPause, l.peers.Alive(clock.Now())) },
		Sent:     func(whole bool) { l.metrics.Count("ryeford_store_calls_total", causeOf(whole)) },
		Failed:   l.recordSourceFailure,
	}, l.applySource, l.outage)
	return nil
}

// The causes of calls of the store, as they are counted.
const (
	causeConfiguration = "configuration"
	causeEndpoints     = "endpoints"       // what has changed of the list
	causeAllEndpoints  = "endpoints_whole" // the whole list
	causeRouters       = "routers"         // the list of routers, and the own entry there
)

func causeOf(whole bool) string {
	if whole {
		return causeAllEndpoints
	}
	return causeEndpoints
}

// timeSlot returns in how long this router is to read the source, and how long the source holds
// the read.
func (l *endpointList) timeSlot(now time.Time) (untilRead, hold time.Duration) {
	age, known := l.lease.Age(now)
	switch {
	case !known:
		return l.start.untilStoreRead(now), 0
	case !l.copy.Range().Known():
		return maxRetryPause - age, 0 // nothing was ever written to the source
	}
	confirmed, _ := l.lease.Confirmed()
	rank, alive := l.peers.Rank(now, freshness.Shift(confirmed))
	if l.start.joining(now) {
		rank = max(rank, replica.Late)
	}
	slot := l.limits.Turn(rank, alive)
	if age >= l.limits.Hold {
		return slot.Age - age, 0
	}
	return slot.Age - age, slot.Hold
}

// recordSourceFailure takes that a read of the source failed that was sent at a time.
func (l *endpointList) recordSourceFailure(sent time.Time) {
	l.revision.recordFailure()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFailedRead = sent
}

// applySource takes an answer of the source to a read that was sent at a time, of what has changed
// since a revision, and reports whether it holds any change.
func (l *endpointList) applySource(update *ryeford.EndpointUpdate, since ryeford.Revision, sent time.Time) bool {
	l.revision.recordAnswer(update.Revision)
	l.logMalformed(update)
	changes := replica.FromSource(update, since)
	l.mu.Lock()
	switch {
	case update.Snapshot:
		l.wholeReadAt = sent
	case !changes.Empty() || sent.Sub(l.wholeReadAt) > replica.JoinTime:
		l.wholeReadAt = time.Time{}
	}
	l.markOutageEnd(clock.Now(), update.Revision.Era())
	l.mu.Unlock()
	if !l.apply(&changes, "source") {
		return false
	}
	// Renewed only now: what peers receive as confirmed must have been applied.
	l.lease.RenewRead(sent, update.Begun, update.Clock)
	return len(update.Present)+len(update.Removed) > 0
}

// markOutageEnd is called before the lease is renewed, and before the changes that came with that are
// applied, which are of an era. If that ends an outage, endpoints that are missing from now on are
// suspect for a time: nothing confirmed the list for long, and this router's own read failed in
// between. Without that the source may have answered others all the time. They are suspect, too, if
// the source is back from a copy. l.mu is held.
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
			downtime.LastFailed = downtime.Began // the source was in the era before
		}
		l.suspectUntil = roster.RestoredUntil(&downtime, l.recoveryTimeout)
	case l.limits.Outage(age) && localReadFailed:
		l.suspectUntil = roster.SuspectUntil(&downtime, l.recoveryTimeout)
	}
}

// isLaterEra reports whether an era is later than that of the copy.
func (l *endpointList) isLaterEra(era int64) bool {
	at := l.copy.Range()
	return at.Known() && era > at.To.Era()
}

// renewFromPeer renews the lease by a peer's confirmation, if that is newer, after changes were
// applied that are of an era.
func (l *endpointList) renewFromPeer(confirmed time.Duration, era int64, apply func() bool) {
	l.mu.Lock()
	if local, known := l.lease.Confirmed(); !known || confirmed > local || l.isLaterEra(era) {
		l.markOutageEnd(clock.Now(), era)
	}
	l.mu.Unlock()
	if apply() {
		l.lease.RenewFromPeer(clock.Now(), confirmed)
	}
}

// apply applies changes to the copy and then to the roster, and reports whether the copy has them.
//
// An endpoint that is missing shortly after an outage may be alive: the list drops
// endpoints that could not reach it either, at once or some answers later.
func (l *endpointList) apply(changes *replica.Changes, from string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if verdict := l.copy.Apply(changes); verdict != replica.Applied {
		_ = l.log.Log("decision", "endpoints", "applied", false, "from", from, "since", changes.Since, "revision", changes.Range.To, "known", l.copy.Range().To, "gap", verdict == replica.Gap)
		return false
	}
	now := clock.Now()
	change := l.roster.Apply(now, &ryeford.EndpointUpdate{
		Snapshot: changes.Snapshot, Present: changes.Present, Removed: changes.Removed, Revision: changes.Range.To,
	}, l.suspectUntil)
	l.onUpdate()
	for range change.Restarted {
		l.metrics.Count("ryeford_restarted_endpoints_total", "")
	}
	if !change.Empty() {
		// troubled says that an outage has just ended, and doubted names the endpoints
		// that have become suspect: the log keeps its old keys.
		_ = l.log.Log("decision", "endpoints", "from", from, "revision", changes.Range.To, "whole", changes.Snapshot, "troubled", now.Before(l.suspectUntil),
			"added", join(change.Added), "draining", join(change.Drained), "dropped", join(change.Dropped), "doubted", join(change.Suspected), "departed", join(change.Departed), "restarted", join(change.Restarted), "withheld", join(change.Withheld), "known", l.roster.Len())
		for _, id := range change.Dropped {
			l.removeState(id)
		}
	}
	if len(change.Suspected)+len(change.Departed)+len(change.Withheld) > 0 {
		l.triggerSweep()
	}
	return true
}

// triggerSweep makes sweep look anew at which endpoint expires next.
func (l *endpointList) triggerSweep() {
	select {
	case l.sweepDue <- struct{}{}:
	default: // sweep is to look already
	}
}

// removeState drops all that is known of an endpoint.
func (l *endpointList) removeState(id ryeford.EndpointID) {
	l.pool.CloseIdle(id)
	for _, remover := range l.removers {
		remover.Forget(id)
	}
}

// sweep closes connections that were idle for too long, and forgets endpoints that
// were kept for a time only as soon as that is over, until ctx ends.
func (l *endpointList) sweep(ctx context.Context) error {
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.sweepDue:
		case <-timer.C:
		}
		now := clock.Now()
		l.pool.CloseExpired(now)
		l.expireBackoffs(now)
		expired, released := l.roster.Expire(now)
		for _, id := range expired {
			_ = l.log.Log("decision", "endpoints", "expired", id)
			l.removeState(id)
		}
		if len(released) > 0 {
			_ = l.log.Log("decision", "endpoints", "released", join(released))
		}
		timer.Reset(l.roster.UntilExpiry(now, sweepInterval))
	}
}

// join returns endpoint IDs as one text, for the log.
func join(ids []ryeford.EndpointID) string {
	texts := make([]string, len(ids))
	for i, id := range ids {
		texts[i] = string(id)
	}
	return strings.Join(texts, ",")
}
