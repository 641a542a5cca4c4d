package gateway

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/watch"
)

const (
	// turnTime is how long one router reads the configuration for all before it is
	// the next one's turn, by the clock of the configuration's source.
	turnTime = 4 * time.Second
	// firstPart and secondPart are the parts of a refresh's time after which the
	// router whose turn it is reads, and the one behind it.
	firstPart  = 0.5
	secondPart = 0.75
	// readPause is the least time between two reads of a router.
	readPause = 60 * time.Millisecond
)

// refreshAge returns the age of a confirmation at which a router reads the
// configuration again: sooner where it is its turn to read for the others.
func refreshAge(refresh time.Duration, rank, heard int) time.Duration {
	switch {
	case heard == 0:
		return refresh
	case rank == 0:
		return time.Duration(firstPart * float64(refresh))
	case rank == 1:
		return time.Duration(secondPart * float64(refresh))
	}
	return refresh
}

// untilRefresh returns how long the router need not read the configuration.
func (g *Gateway) untilRefresh(now time.Time) time.Duration {
	age, known := g.lease.Age(now)
	if !known || g.catalog.Get() == nil {
		return 0
	}
	confirmed, _ := g.lease.Confirmed()
	rank, heard := g.gossip.table.Rank(now, uint64(confirmed/turnTime))
	return refreshAge(g.settings.RefreshConfiguration(), rank, heard) - age
}

// keepConfiguration reads the configuration whenever the lease grows old, or a
// peer tells of a newer one, until ctx ends. Routers that hear each other share
// what one of them has read.
//
// It reads it whole each time: a feed of changes may be deaf for a while, and
// says nothing then.
func (g *Gateway) keepConfiguration(ctx context.Context) error {
	var lostAt time.Time
	for ctx.Err() == nil {
		if wait := g.untilRefresh(time.Now()); wait > 0 && !g.awaitNewer(ctx, wait) {
			continue // it may have been renewed meanwhile
		}
		known := g.revision.get()
		sent := time.Now()
		update, err := g.platform.Configurations.Configuration(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if lostAt.IsZero() {
				lostAt = sent
				g.noteLost("configuration", err)
			}
			watch.Pause(ctx, storePauseMost)
			continue
		}
		if !lostAt.IsZero() {
			g.noteRegained("configuration", time.Since(lostAt))
			lostAt = time.Time{}
		}
		g.applyConfiguration(&update, known, sent, time.Now())
		watch.Pause(ctx, g.afterRead())
	}
	return nil
}

// afterRead returns the least time until the next read. Before the operators'
// first configuration there is no hurry.
func (g *Gateway) afterRead() time.Duration {
	if g.catalog.Get() == nil {
		return storePauseMost
	}
	return readPause
}

// awaitNewer waits, at most so long, until a peer tells of a newer configuration,
// and reports whether one did.
func (g *Gateway) awaitNewer(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-g.newer:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// tellNewer notes that a peer has a newer configuration than this router.
func (g *Gateway) tellNewer() {
	select {
	case g.newer <- struct{}{}:
	default: // noted already
	}
}

// applyConfiguration brings a configuration in force, unless it is already, and
// renews the lease. An answer behind the revision that was known when the question
// was sent is no confirmation.
func (g *Gateway) applyConfiguration(update *ryeford.ConfigurationUpdate, known int64, sent, answered time.Time) {
	if update.Revision < known {
		g.metrics.Count("ryeford_stale_answers_total", "")
		_ = g.log.Log("decision", "configuration", "revision", update.Revision, "known", known, "applied", false, "why", "stale answer")
		return
	}
	g.revision.raise(update.Revision)
	if update.Configuration != nil && update.Configuration.Version != g.version() {
		next := catalog.New(update.Configuration)
		applied := g.catalog.Put(next)
		_ = g.log.Log("decision", "configuration", "version", next.Version(), "revision", update.Revision,
			"routes", len(update.Configuration.Routes), "accounts", len(update.Configuration.Accounts), "applied", applied)
	}
	if g.catalog.Get() != nil {
		g.lease.RenewRead(sent, answered, update.Clock)
		g.noteLearned()
	}
}
