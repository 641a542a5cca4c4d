package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/catalog"
	"github.com/ryeford/ryeford/watch"
)

const (
	storePause     = 60 * time.Millisecond
	storePauseMost = 250 * time.Millisecond
	// refreshSpread is the part of a refresh's time by which routers differ at
	// random, so that one of them is the first.
	refreshSpread = 3
	leaseCheck    = 100 * time.Millisecond
)

// watchOptions returns how the store is followed, with a wait.
func watchOptions(wait func() time.Duration) watch.Options {
	return watch.Options{Wait: wait, Pause: storePause, PauseMost: storePauseMost}
}

// watchConfiguration keeps the configuration in force until ctx ends.
func (g *Gateway) watchConfiguration(ctx context.Context) error {
	source := watch.Source[ryeford.ConfigurationUpdate]{
		Read: func(ctx context.Context) (ryeford.ConfigurationUpdate, int64, error) {
			update, err := g.platform.Configurations.Configuration(ctx)
			return update, update.Revision, err
		},
		Since: func(ctx context.Context, revision int64, wait time.Duration) (ryeford.ConfigurationUpdate, int64, error) {
			update, err := g.platform.Configurations.ConfigurationSince(ctx, revision, wait)
			return update, update.Revision, err
		},
	}
	return watch.Run(ctx, source, watchOptions(func() time.Duration { return g.settings.Routing.ConfigurationWait }), watch.Handler[ryeford.ConfigurationUpdate]{
		Apply: func(update ryeford.ConfigurationUpdate, revision int64, sent time.Time) {
			g.applyConfiguration(update, revision, sent)
		},
		Lost:     func(err error) { g.noteLost("configuration", err) },
		Regained: func(after time.Duration) { g.noteRegained("configuration", after) },
	})
}

// keepLease reads the configuration whole whenever the lease grows old, until ctx
// ends. Routers that hear each other share what one of them has read, so that the
// first whose turn it is reads for all.
func (g *Gateway) keepLease(ctx context.Context) error {
	for ctx.Err() == nil {
		patience := g.settings.Routing.LeaseRefresh
		patience += time.Duration(rand.Int64N(int64(patience)/refreshSpread + 1))
		age, confirmed := g.lease.Age(time.Now())
		if g.catalog.Get() == nil || (confirmed && age < patience) {
			watch.Pause(ctx, leaseCheck)
			continue
		}
		sent := time.Now()
		update, err := g.platform.Configurations.Configuration(ctx)
		if err != nil {
			watch.Pause(ctx, storePauseMost)
			continue
		}
		g.applyConfiguration(update, update.Revision, sent)
	}
	return nil
}

// applyConfiguration brings a configuration in force, unless it is already, and
// renews the lease.
func (g *Gateway) applyConfiguration(update ryeford.ConfigurationUpdate, revision int64, sent time.Time) {
	if update.Configuration != nil && update.Configuration.Version != g.version() {
		next := catalog.New(update.Configuration)
		applied := g.catalog.Put(next)
		_ = g.log.Log("decision", "configuration", "version", next.Version(), "revision", revision,
			"routes", len(update.Configuration.Routes), "accounts", len(update.Configuration.Accounts), "applied", applied)
	}
	if update.Whole && g.catalog.Get() != nil {
		g.lease.Renew(sent)
	}
}

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
	return watch.Run(ctx, source, watchOptions(func() time.Duration { return g.settings.Routing.EndpointsWait }), watch.Handler[ryeford.EndpointUpdate]{
		Apply: func(update ryeford.EndpointUpdate, revision int64, _ time.Time) {
			g.applyEndpoints(&update, revision)
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
	troubled := g.regained
	g.regained = false
	change := g.roster.Apply(time.Now(), update, troubled)
	if change.Empty() {
		return
	}
	_ = g.log.Log("decision", "endpoints", "revision", revision, "whole", update.Whole, "troubled", troubled,
		"added", join(change.Added), "draining", join(change.Drained), "dropped", join(change.Dropped), "doubted", join(change.Doubted), "known", g.roster.Len())
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
