package gateway

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/watch"
)

const (
	storePause     = 60 * time.Millisecond
	storePauseMost = 400 * time.Millisecond
)

// watchEndpoints keeps the list of endpoints until ctx ends.
func (g *Gateway) watchEndpoints(ctx context.Context) error {
	source := watch.Source[ryeford.EndpointUpdate]{
		Read: func(ctx context.Context) (ryeford.EndpointUpdate, int64, error) {
			update, err := g.platform.Endpoints.Endpoints(ctx)
			return update, update.Revision, err
		},
		Since: func(ctx context.Context, revision int64, wait time.Duration) (ryeford.EndpointUpdate, int64, error) {
			update, err := g.platform.Endpoints.EndpointsSince(ctx, revision, wait)
			return update, update.Revision, err
		},
	}
	options := watch.Options{
		Wait:      g.settings.WaitForEndpoints,
		Settle:    g.settings.SettleEndpoints(),
		Pause:     storePause,
		PauseMost: storePauseMost,
	}
	return watch.Run(ctx, source, options, watch.Handler[ryeford.EndpointUpdate]{
		Apply: func(update ryeford.EndpointUpdate, revision int64, _ time.Time) bool {
			g.applyEndpoints(&update, revision)
			return len(update.Present)+len(update.Gone) > 0
		},
		Lost: func(err error) { g.noteLost("endpoints", err) },
		Regained: func(after time.Duration) {
			g.regained = true
			g.noteRegained("endpoints", after)
		},
	})
}

// applyEndpoints takes what the list says. What the first answer drops after
// the list was out of reach may live: the list drops endpoints that could not
// reach it either. What later answers drop is gone.
func (g *Gateway) applyEndpoints(update *ryeford.EndpointUpdate, revision int64) {
	g.revision.raise(update.Revision)
	troubled := g.regained
	g.regained = false
	change := g.roster.Apply(time.Now(), update, troubled)
	g.noteLearned()
	if change.Empty() {
		return
	}
	_ = g.log.Log("decision", "endpoints", "revision", revision, "whole", update.Whole, "troubled", troubled,
		"added", join(change.Added), "draining", join(change.Drained), "dropped", join(change.Dropped), "doubted", join(change.Doubted), "departed", join(change.Departed), "known", g.roster.Len())
	for _, id := range change.Dropped {
		g.forget(id)
	}
}

// forget drops all that is known of an endpoint.
func (g *Gateway) forget(id ryeford.EndpointID) {
	g.pool.Forget(id)
	g.detector.Forget(id)
	g.loads.forget(id)
	g.holders.Forget(id)
}

// sweep looks through what expires until ctx ends.
func (g *Gateway) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			g.pool.Sweep(now)
			for _, id := range g.roster.Expire(now) {
				_ = g.log.Log("decision", "endpoints", "expired", id)
				g.forget(id)
			}
		}
	}
}

// noteLost logs a dependency that is lost.
func (g *Gateway) noteLost(what string, err error) {
	g.metrics.Count("ryeford_dependency_lost_total", what)
	_ = g.log.Log("msg", "dependency lost", "dependency", what, "lease", g.leaseLeft(), "err", err)
}

// noteRegained logs a dependency that is regained.
func (g *Gateway) noteRegained(what string, after time.Duration) {
	_ = g.log.Log("msg", "dependency regained", "dependency", what, "after", roundTime(after))
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
