package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/watch"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// leaseMargin is taken off the time after which a key that was taken away
// must not work any more: for the way to the endpoint.
const leaseMargin = 500 * time.Millisecond

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

// A configuration is the operators' configuration as this router knows it: the
// catalog in force, the lease that bounds how long it may be relied on, and the
// loop that reads it anew.
type configuration struct {
	configurationOptions
	inForce catalog.Current
	lease   *freshness.SharedLease
	newer   chan struct{} // a peer has a newer configuration
	outages *outageLog
	log     log.Logger
	metrics *telemetry.Set
}

// configurationOptions are what a configuration is made of.
type configurationOptions struct {
	Source ryeford.ConfigurationSource
	// Term is how long a confirmed configuration may be relied on.
	Term time.Duration
	// Refresh is the age at which a router without peers reads it again.
	Refresh time.Duration
	// Peers says whose turn it is to read.
	Peers *peers.Table
	// Revision is the newest of the store, on any of its tables.
	Revision *revision
	// OnUpdate is called after each read that was relied on.
	OnUpdate func()
}

// newConfiguration returns a configuration that is not known yet.
func newConfiguration(options configurationOptions, logger log.Logger, metrics *telemetry.Set) *configuration {
	c := &configuration{
		configurationOptions: options,
		lease:                freshness.NewSharedLease(options.Term),
		newer:                make(chan struct{}, 1),
		log:                  logger,
		metrics:              metrics,
	}
	c.outages = &outageLog{log: logger, metrics: metrics, leaseLeft: c.leaseLeft}
	return c
}

// current returns the catalog in force, or nil if none is known yet.
func (c *configuration) current() *catalog.Catalog { return c.inForce.Get() }

// version returns the version of the configuration in force, or zero.
func (c *configuration) version() int64 {
	if current := c.current(); current != nil {
		return current.Version()
	}
	return 0
}

// reliable reports whether the configuration in force may be relied on.
func (c *configuration) reliable(now time.Time) bool { return c.lease.Valid(now) }

// leaseLeft returns the time until the lease ends, as it is logged.
func (c *configuration) leaseLeft() time.Duration {
	return c.lease.Left(time.Now()).Round(time.Millisecond)
}

// untilRefresh returns how long the router need not read the configuration.
func (c *configuration) untilRefresh(now time.Time) time.Duration {
	age, known := c.lease.Age(now)
	if !known || c.current() == nil {
		return 0
	}
	confirmed, _ := c.lease.Confirmed()
	rank, heard := c.Peers.Rank(now, uint64(confirmed/turnTime))
	return refreshAge(c.Refresh, rank, heard) - age
}

// run reads the configuration whenever the lease grows old, or a
// peer tells of a newer one, until ctx ends. Routers that hear each other share
// what one of them has read.
//
// It reads it whole each time: a feed of changes may be deaf for a while, and
// says nothing then.
func (c *configuration) run(ctx context.Context) error {
	var lostAt time.Time
	for ctx.Err() == nil {
		if wait := c.untilRefresh(time.Now()); wait > 0 && !c.awaitNewer(ctx, wait) {
			continue // it may have been renewed meanwhile
		}
		known := c.Revision.get()
		sent := time.Now()
		update, err := c.Source.Configuration(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if lostAt.IsZero() {
				lostAt = sent
				c.outages.lost("configuration", err)
			}
			watch.Pause(ctx, storePauseMost)
			continue
		}
		if !lostAt.IsZero() {
			c.outages.regained("configuration", time.Since(lostAt))
			lostAt = time.Time{}
		}
		c.applyConfiguration(&update, known, sent, time.Now())
		watch.Pause(ctx, c.afterRead())
	}
	return nil
}

// afterRead returns the least time until the next read. Before the operators'
// first configuration there is no hurry.
func (c *configuration) afterRead() time.Duration {
	if c.current() == nil {
		return storePauseMost
	}
	return readPause
}

// awaitNewer waits, at most so long, until a peer tells of a newer configuration,
// and reports whether one did.
func (c *configuration) awaitNewer(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.newer:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// noteNewer notes that a peer has a newer configuration than this router.
func (c *configuration) noteNewer() {
	select {
	case c.newer <- struct{}{}:
	default: // noted already
	}
}

// applyConfiguration brings a configuration in force, unless it is already, and
// renews the lease. An answer behind the revision that was known when the question
// was sent is no confirmation.
func (c *configuration) applyConfiguration(update *ryeford.ConfigurationUpdate, known int64, sent, answered time.Time) {
	if update.Revision < known {
		c.metrics.Count("ryeford_stale_answers_total", "")
		_ = c.log.Log("decision", "configuration", "revision", update.Revision, "known", known, "applied", false, "why", "stale answer")
		return
	}
	c.Revision.raise(update.Revision)
	if update.Configuration != nil && update.Configuration.Version != c.version() {
		next := catalog.New(update.Configuration)
		applied := c.inForce.Put(next)
		_ = c.log.Log("decision", "configuration", "version", next.Version(), "revision", update.Revision,
			"routes", len(update.Configuration.Routes), "accounts", len(update.Configuration.Accounts), "applied", applied)
	}
	if c.current() != nil {
		c.lease.RenewRead(sent, answered, update.Clock)
		c.OnUpdate()
	}
}
