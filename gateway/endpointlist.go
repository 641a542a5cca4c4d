package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/watch"
)

const (
	// minFeedPause is the pause after a first failure of the list's source, before
	// jitter; it doubles with each failure in a row up to maxFeedPause. Pauses of 120 ms made
	// no difference beyond noise.
	minFeedPause = 60 * time.Millisecond
	// maxFeedPause bounds the pause after a failure. At 0.5 s the return of a source was
	// noticed late.
	maxFeedPause = 400 * time.Millisecond
	// sweepInterval is how often idle connections are looked through. Not measured.
	sweepInterval = 500 * time.Millisecond
)

// A forgetter keeps something of each endpoint, which ends with the endpoint.
type forgetter interface {
	Forget(id ryeford.EndpointID)
}

// An endpointList keeps the roster as the platform's list of endpoints says, and
// drops what the router knows of an endpoint together with the endpoint.
type endpointList struct {
	source ryeford.EndpointSource
	// wait is how long the source waits for a change before it answers, and settle
	// the pause after a change.
	wait, settle time.Duration
	contact      time.Duration // until the router is held to its bounds after an outage
	revision     *revision     // the newest of the store, on any of its tables
	roster       *roster.Roster
	pool         *endpoint.Pool
	forgetters   []forgetter // forget an endpoint that is gone
	outage       watch.Outage
	onUpdate     func() // called after each update
	log          log.Logger

	// dropped holds one entry if endpoints have left the list that sweep must forget.
	dropped chan struct{}

	// suspectUntil is until when endpoints that the list drops may be alive (package
	// roster). Only run uses it.
	suspectUntil time.Time
}

// run follows the list of endpoints until ctx ends.
func (l *endpointList) run(ctx context.Context) error {
	options := watch.Options{Wait: l.wait, Settle: l.settle, MinPause: minFeedPause, MaxPause: maxFeedPause}
	outage := l.outage
	outage.Regained = func(downtime ryeford.Downtime) {
		l.suspectUntil = roster.SuspectUntil(&downtime, l.contact)
		l.outage.Regained(downtime)
	}
	watch.Run(ctx, l.source, options, l.apply, &outage)
	return nil
}

// apply takes an answer of the list and reports whether it holds any change.
//
// An endpoint that is missing shortly after an outage may be alive: the list drops
// endpoints that could not reach it either, at once or some answers later.
func (l *endpointList) apply(update *ryeford.EndpointUpdate) bool {
	l.revision.raise(update.Revision)
	now := time.Now()
	change := l.roster.Apply(now, update, l.suspectUntil)
	l.onUpdate()
	if !change.Empty() {
		// troubled says that an outage has just ended, and doubted names the endpoints
		// that have become suspect: the log keeps its old keys.
		_ = l.log.Log("decision", "endpoints", "revision", update.Revision, "whole", update.Snapshot, "troubled", now.Before(l.suspectUntil),
			"added", join(change.Added), "draining", join(change.Drained), "dropped", join(change.Dropped), "doubted", join(change.Suspected), "departed", join(change.Departed), "known", l.roster.Len())
		for _, id := range change.Dropped {
			l.forget(id)
		}
	}
	if len(change.Suspected)+len(change.Departed) > 0 {
		l.sweepSoon()
	}
	return len(update.Present)+len(update.Removed) > 0
}

// sweepSoon makes sweep look anew at which endpoint expires next.
func (l *endpointList) sweepSoon() {
	select {
	case l.dropped <- struct{}{}:
	default: // sweep is to look already
	}
}

// forget drops all that is known of an endpoint.
func (l *endpointList) forget(id ryeford.EndpointID) {
	l.pool.CloseIdle(id)
	for _, f := range l.forgetters {
		f.Forget(id)
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
		case <-l.dropped:
		case <-timer.C:
		}
		now := time.Now()
		l.pool.CloseExpired(now)
		for _, id := range l.roster.Expire(now) {
			_ = l.log.Log("decision", "endpoints", "expired", id)
			l.forget(id)
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
