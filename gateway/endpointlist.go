package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/holders"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/watch"
)

const (
	// sweepEvery is how often resting connections and doubtful endpoints are
	// looked through.
	sweepEvery     = 500 * time.Millisecond
	storePause     = 60 * time.Millisecond
	storePauseMost = 400 * time.Millisecond
)

// An endpointList keeps the roster as the platform's list of endpoints says, and
// drops what the router knows of an endpoint together with the endpoint.
type endpointList struct {
	source ryeford.EndpointSource
	// wait is how long the source holds a question for changes, and settle the
	// pause after a change.
	wait, settle time.Duration
	revision     *revision // the newest of the store, on any of its tables
	roster       *roster.Roster
	pool         *endpoint.Pool
	detector     *outlier.Detector
	loads        *loads
	holders      *holders.Map
	outages      *outageLog
	onUpdate     func() // called after each update
	log          log.Logger

	regained bool // the next list is the first since it was out of reach; only run uses it
}

// run keeps the list of endpoints until ctx ends.
func (l *endpointList) run(ctx context.Context) error {
	source := watch.Source[ryeford.EndpointUpdate]{
		Read: func(ctx context.Context) (ryeford.EndpointUpdate, int64, error) {
			update, err := l.source.Endpoints(ctx)
			return update, update.Revision, err
		},
		Since: func(ctx context.Context, revision int64, wait time.Duration) (ryeford.EndpointUpdate, int64, error) {
			update, err := l.source.EndpointsSince(ctx, revision, wait)
			return update, update.Revision, err
		},
	}
	options := watch.Options{
		Wait:      func() time.Duration { return l.wait },
		Settle:    l.settle,
		Pause:     storePause,
		PauseMost: storePauseMost,
	}
	return watch.Run(ctx, source, options, watch.Handler[ryeford.EndpointUpdate]{
		Apply: func(update ryeford.EndpointUpdate, revision int64, _ time.Time) bool {
			l.applyEndpoints(&update, revision)
			return len(update.Present)+len(update.Removed) > 0
		},
		Lost: func(err error) { l.outages.lost("endpoints", err) },
		Regained: func(after time.Duration) {
			l.regained = true
			l.outages.regained("endpoints", after)
		},
	})
}

// applyEndpoints takes what the list says. What the first answer drops after
// the list was out of reach may live: the list drops endpoints that could not
// reach it either. What later answers drop is gone.
func (l *endpointList) applyEndpoints(update *ryeford.EndpointUpdate, revision int64) {
	l.revision.raise(update.Revision)
	troubled := l.regained
	l.regained = false
	change := l.roster.Apply(time.Now(), update, troubled)
	l.onUpdate()
	if change.Empty() {
		return
	}
	_ = l.log.Log("decision", "endpoints", "revision", revision, "whole", update.Snapshot, "troubled", troubled,
		"added", join(change.Added), "draining", join(change.Drained), "dropped", join(change.Dropped), "doubted", join(change.Doubted), "departed", join(change.Departed), "known", l.roster.Len())
	for _, id := range change.Dropped {
		l.forget(id)
	}
}

// forget drops all that is known of an endpoint.
func (l *endpointList) forget(id ryeford.EndpointID) {
	l.pool.CloseIdle(id)
	l.detector.Forget(id)
	l.loads.forget(id)
	l.holders.Forget(id)
}

// sweep looks through what expires until ctx ends.
func (l *endpointList) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			l.pool.CloseExpired(now)
			for _, id := range l.roster.Expire(now) {
				_ = l.log.Log("decision", "endpoints", "expired", id)
				l.forget(id)
			}
		}
	}
}

// join returns endpoint IDs as one text.
func join(ids []ryeford.EndpointID) string {
	text := ""
	for i, id := range ids {
		if i > 0 {
			text += ","
		}
		text += string(id)
	}
	return text
}
