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
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// A configuration is the operators' configuration as this router knows it: the
// catalog in force, the lease that bounds how long it may be relied on, and the
// loop that reads it anew. It is safe for concurrent use.
type configuration struct {
	configurationOptions
	inForce catalog.Current
	lease   *freshness.Lease
	newer   newerVersion
	wake    chan struct{} // holds one entry if a peer has told of a newer version
	news    chan struct{} // holds one entry if peers are to be told what newer knows

	// Only run uses what follows.
	outage watch.Outage
	state  ryeford.ConfigurationState // of the last answer that counts, at the source
	size   int                        // of the configuration in that answer, in bytes
	failed int                        // reads in a row that brought no answer that counts
}

// configurationOptions are what a configuration relies on.
type configurationOptions struct {
	source ryeford.ConfigurationSource
	// term is how long a confirmed configuration may be relied on.
	term time.Duration
	// refresh is the age at which a router without peers reads it again.
	refresh time.Duration
	// bound is the time in which a change must be in force, and contact that after
	// which a source that does not answer counts as out of reach.
	bound, contact time.Duration
	// peers says whose shift it is to read.
	peers *peers.Table
	// revision is the newest of the store, on any of its tables.
	revision *revision
	// onUpdate is called after each answer while a configuration is in force.
	onUpdate func()
	log      log.Logger
	metrics  *telemetry.Set
}

// newConfiguration returns a configuration that was not read yet.
func newConfiguration(options configurationOptions) *configuration {
	c := &configuration{
		configurationOptions: options,
		lease:                freshness.NewLease(options.term),
		wake:                 make(chan struct{}, 1),
		news:                 make(chan struct{}, 1),
	}
	c.outage = newOutage("configuration", c.leaseLeft, options.log, options.metrics)
	return c
}

// current returns the catalog in force, or nil if none is known yet.
func (c *configuration) current() *catalog.Catalog { return c.inForce.Get() }

// version returns the version of the configuration in force, or zero.
func (c *configuration) version() int64 { return versionOf(c.current()) }

// versionOf returns the version of a catalog, or zero if there is none.
func versionOf(current *catalog.Catalog) int64 {
	if current == nil {
		return 0
	}
	return current.Version()
}

// superseded reports whether the configuration in force must not be used since a newer one
// is known.
func (c *configuration) superseded(now time.Time) bool {
	known, ok := c.newer.knownFor(now)
	if !ok {
		return false
	}
	answered, ever := c.revision.sinceAnswer(now)
	age, confirmed := c.lease.Age(now)
	s := freshness.Superseded{Known: known, Age: age, Answered: answered}
	return ever && confirmed && s.Unusable(c.bound, c.contact)
}

// reliable reports whether the configuration in force may be relied on.
func (c *configuration) reliable(now time.Time) bool { return c.lease.Valid(now) }

// leaseLeft returns the time until the lease ends, as it is logged.
func (c *configuration) leaseLeft() time.Duration {
	return c.lease.Left(time.Now()).Round(time.Millisecond)
}

// run reads the configuration whenever this router is due to (freshness.ReadAge),
// until ctx ends.
//
// Each read is a call of its own. A feed that delivers nothing may have lost its
// changes, so its silence would confirm nothing.
func (c *configuration) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := c.untilRead(time.Now()); wait > 0 && !c.awaitNewer(ctx, wait) {
			continue // a peer may have renewed the lease meanwhile
		}
		answered := c.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		clock.Sleep(ctx, freshness.PauseAfterRead(answered, c.current() != nil))
	}
	return nil
}

// untilRead returns how long this router need not read the configuration.
func (c *configuration) untilRead(now time.Time) time.Duration {
	age, known := c.lease.Age(now)
	if !known || c.current() == nil {
		return 0
	}
	confirmed, _ := c.lease.Confirmed()
	rank, alive := c.peers.Rank(now, freshness.Shift(confirmed))
	return freshness.ReadAge(c.refresh, rank, alive) - age
}

// awaitNewer waits, at most for wait, until a peer has a newer configuration, and
// reports whether one does. What peers sent while it was read counts no more.
func (c *configuration) awaitNewer(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.wake:
		return c.newer.known()
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// read reads the configuration once and reports whether it was answered.
func (c *configuration) read(ctx context.Context) bool {
	known := c.revision.get()
	sent := time.Now()
	update, err := c.fetch(ctx)
	if ctx.Err() != nil {
		return false // the gateway stops: not an outage
	}
	if err != nil {
		c.failed++
		c.outage.Failed(sent, err)
		return false
	}
	c.outage.Answered()
	if c.apply(&update, known, sent) {
		c.failed = 0
	} else {
		c.failed++
	}
	return true
}

// fetch asks the source for the configuration, or for what has changed of it.
func (c *configuration) fetch(ctx context.Context) (ryeford.ConfigurationUpdate, error) {
	if freshness.Compares(freshness.Known{Size: c.size, Failed: c.failed, Outdated: c.newer.known()}) {
		return c.source.ConfigurationIfChanged(ctx, c.state, c.changed)
	}
	return c.source.Configuration(ctx)
}

// changed takes that the source has another configuration than the one that is known,
// which is about to be transferred.
func (c *configuration) changed() {
	if c.newer.receive(time.Now(), 0, c.state) {
		_ = c.log.Log("decision", "configuration_news", "superseded", c.state, "from", "source")
		signal(c.news)
	}
}

// apply puts a configuration in force, unless it is already, and renews the lease. It
// reports whether the answer counts. known is the newest revision that was known when
// the read was sent.
func (c *configuration) apply(update *ryeford.ConfigurationUpdate, known int64, sent time.Time) bool {
	if !freshness.Confirms(update.Revision, known) {
		c.metrics.Count("ryeford_stale_answers_total", "")
		_ = c.log.Log("decision", "configuration", "revision", update.Revision, "known", known, "applied", false, "why", "stale answer")
		return false
	}
	c.revision.raise(update.Revision)
	if !update.Unchanged {
		c.state, c.size = update.State, update.Size
		c.putInForce(update, sent)
		if c.newer.read(c.version(), update.State) {
			signal(c.news)
		}
	}
	if c.current() == nil {
		return true
	}
	if !update.Unchanged && update.Configuration == nil {
		_ = c.log.Log("decision", "configuration", "revision", update.Revision, "applied", false, "why", "the source has none any more")
		return false
	}
	c.lease.RenewRead(sent, update.Begun, update.Clock)
	c.onUpdate()
	return true
}

// putInForce puts the configuration of an update in force, unless it is already. sent is
// when the read was sent.
func (c *configuration) putInForce(update *ryeford.ConfigurationUpdate, sent time.Time) {
	if update.Configuration == nil || update.Configuration.Version == c.version() {
		return
	}
	next := catalog.New(update.Configuration)
	applied := c.inForce.Put(next)
	_ = c.log.Log("decision", "configuration", "version", next.Version(), "revision", update.Revision,
		"routes", len(update.Configuration.Routes), "accounts", len(update.Configuration.Accounts), "took", roundTime(time.Since(sent)), "applied", applied)
}

// confirmedByPeer takes a peer's confirmation that a version was the newest when
// the source's steady clock showed at.
func (c *configuration) confirmedByPeer(now time.Time, version int64, at time.Duration) {
	current := c.current()
	switch freshness.AfterPeer(current != nil, versionOf(current), version) {
	case freshness.PeerIsNewer:
		c.newer.receive(now, version, 0)
		signal(c.wake)
	case freshness.PeerRenews:
		c.lease.RenewFromPeer(now, at)
	}
}

// supersededAtPeer takes the newest state of the source that a peer knows to be superseded.
// If that is news, it makes run read the configuration at once, and is passed on.
func (c *configuration) supersededAtPeer(now time.Time, state ryeford.ConfigurationState) {
	if c.newer.receive(now, 0, state) {
		_ = c.log.Log("decision", "configuration_news", "superseded", state, "from", "peer")
		signal(c.news)
		signal(c.wake)
	}
}

// signal puts an entry in a channel that holds one, unless it is there already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
