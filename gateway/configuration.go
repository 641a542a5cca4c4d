package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/gateway/roster"
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
	wake    chan struct{} // holds one entry if a peer has reported a newer version

	// Only run uses what follows.
	peerReader  *peerReader
	outage      *watch.Outage
	state       ryeford.ConfigurationState // of the last answer that counts, at the source
	size        int                        // of the configuration in that answer, in bytes
	failedReads int                        // reads in a row that brought no answer that counts
}

// configurationOptions are what a configuration relies on.
type configurationOptions struct {
	source ryeford.ConfigurationSource
	// term is how long a confirmed configuration may be relied on.
	term time.Duration
	// refresh is the age at which a router without peers reads it again.
	refresh time.Duration
	// serveKeysInOutage says that requests that need a key are served beyond the lease in an outage.
	serveKeysInOutage bool
	// changeTimeout is the time in which a change must be in force, and unreachableAfter that after
	// which a source that has answered nothing counts as out of reach.
	changeTimeout, unreachableAfter time.Duration
	// peers says whose shift it is to read.
	peers *peers.Table
	start *start
	// clock is the source's.
	clock *freshness.SourceClock
	// revision is the newest of the store, on any of its tables.
	revision    *storeRevision
	evacuations *evacuations
	// onUpdate is called after each answer while a configuration is in force.
	onUpdate func()
	log      log.Logger
	metrics  *telemetry.Set
}

// newConfiguration returns a configuration that was not read yet.
func newConfiguration(options configurationOptions) *configuration {
	if options.clock == nil {
		options.clock = &freshness.SourceClock{}
	}
	if options.start == nil {
		options.start = &start{}
	}
	if options.evacuations == nil {
		options.evacuations = newEvacuations(roster.New(), options.log, options.metrics)
	}
	c := &configuration{
		configurationOptions: options,
		lease:                freshness.NewLease(clock.Now(), options.term, options.clock),
		wake:                 make(chan struct{}, 1),
		peerReader:           newPeerReader(),
	}
	c.outage = newOutage("configuration", c.leaseLeft, options.log, options.metrics)
	return c
}

// current returns the catalog in force, or nil if none is known yet.
func (c *configuration) current() *catalog.Catalog { return c.inForce.Get() }

// version returns the version of the configuration in force, or zero.
func (c *configuration) version() int64 { return versionOf(c.current()) }

// superseded reports whether the configuration in force must not be used since a newer one
// is known.
func (c *configuration) superseded(now time.Time) bool {
	if !c.newer.mayExist() {
		return false
	}
	confirmed, _ := c.lease.Age(now)
	answered, ever := c.revision.sinceContact(now)
	return ever && freshness.Superseded(confirmed, answered, c.changeTimeout, c.unreachableAfter)
}

// reliable reports whether the configuration in force may be relied on.
func (c *configuration) reliable(now time.Time) bool { return c.lease.Valid(now) }

// servesKeys reports whether requests that need a key are served by the configuration in
// force.
func (c *configuration) servesKeys(now time.Time) bool {
	return freshness.ServesKeys(c.serveKeysInOutage, c.reliable(now), c.newer.mayExist())
}

// leaseLeft returns the time until the lease ends, as it is logged.
func (c *configuration) leaseLeft() time.Duration {
	return c.lease.Left(clock.Now()).Round(time.Millisecond)
}

// run reads the configuration whenever this router is due to (freshness.ReadAge),
// until ctx ends.
//
// Each read is a call of its own. A feed that delivers nothing may have lost its
// changes, so its silence would confirm nothing.
func (c *configuration) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if wait := c.untilNextRead(clock.Now()); wait > 0 && !c.awaitNewer(ctx, wait) {
			continue // a peer may have renewed the lease meanwhile
		}
		answered := c.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.pause(ctx, answered)
	}
	return nil
}

// pause waits after a read. A long wait ends if a peer reports a newer configuration.
func (c *configuration) pause(ctx context.Context, answered bool) {
	wait, minPause := freshness.PauseAfterRead(answered, c.current() != nil), freshness.PauseAfterRead(true, true)
	clock.Sleep(ctx, minPause)
	if wait > minPause {
		c.awaitNewer(ctx, replica.MaxPause(wait, c.peers.Alive(clock.Now()))-minPause)
	}
}

// untilNextRead returns how long this router need not read the configuration.
func (c *configuration) untilNextRead(now time.Time) time.Duration {
	age, known := c.lease.Age(now)
	if !known || c.current() == nil {
		return c.start.untilStoreRead(now)
	}
	confirmed, _ := c.lease.Confirmed()
	rank, alive := c.peers.Rank(now, freshness.Shift(confirmed))
	if c.start.joining(now) {
		rank = max(rank, replica.Late)
	}
	return freshness.ReadAge(c.refresh, rank, alive) - age
}

// awaitNewer waits, at most for wait, until a peer has a newer configuration, and
// reports whether one does. What peers sent while it was read counts no more.
func (c *configuration) awaitNewer(ctx context.Context, maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
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
	// A source that has an older version than the one in force was restored: what else it has lost
	// isn't known, so that it confirms nothing.
	known := freshness.Seen{Revision: c.revision.get(), Version: max(c.newer.reportedVersion(), c.version())}
	if c.newer.reportedVersion() > c.version() && c.readFromPeer(ctx) {
		return true
	}
	c.metrics.Count("ryeford_store_calls_total", causeConfiguration)
	sent := clock.Now()
	update, err := c.fetch(ctx)
	if ctx.Err() != nil {
		return false // the gateway stops: not an outage
	}
	if err != nil {
		c.failedReads++
		c.revision.recordFailure()
		c.outage.Failed(sent, err)
		return false
	}
	c.outage.Answered()
	if c.apply(&update, known, sent) {
		c.failedReads = 0
	} else {
		c.failedReads++
	}
	return true
}

// fetch asks the source for the configuration, or for what has changed of it.
func (c *configuration) fetch(ctx context.Context) (ryeford.ConfigurationUpdate, error) {
	known := ryeford.KnownConfiguration{State: c.state, Size: c.size, OnChange: c.sourceChanged}
	if freshness.Compares(freshness.Known{Size: c.size, Failed: c.failedReads, Outdated: c.newer.known()}) {
		return c.source.ConfigurationIfChanged(ctx, known)
	}
	return c.source.Configuration(ctx, known)
}

// sourceChanged takes that the source has another configuration than the one that is known,
// which is about to be transferred.
func (c *configuration) sourceChanged() {
	c.newer.setChanged()
	_ = c.log.Log("decision", "configuration_news", "superseded", c.state)
}

// apply puts a configuration in force, unless it is already, and renews the lease. It
// reports whether the answer counts. known is the newest that was known when the read was
// sent.
func (c *configuration) apply(update *ryeford.ConfigurationUpdate, known freshness.Seen, sent time.Time) bool {
	read := freshness.Seen{Revision: update.Revision, Version: c.versionIn(update)}
	if !freshness.Confirms(read, known) {
		c.newer.recordContradiction(clock.Now())
		c.metrics.Count("ryeford_stale_answers_total", "")
		_ = c.log.Log("decision", "configuration", "revision", read.Revision, "known", known.Revision, "version", read.Version, "heard", known.Version, "applied", false, "why", "stale answer")
		return false
	}
	c.revision.recordAnswer(update.Revision)
	c.evacuations.merge(update.Evacuations, "source")
	if !update.Unchanged {
		c.state, c.size = update.State, update.Size
	}
	switch {
	case read.Version == c.version():
		c.newer.confirm()
	case update.Configuration != nil:
		c.putInForce(update, sent)
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

// versionIn returns the version that an update says the source has, or zero if none.
func (c *configuration) versionIn(update *ryeford.ConfigurationUpdate) int64 {
	switch {
	case update.Unchanged:
		return c.version()
	case update.Configuration == nil:
		return 0
	}
	return update.Configuration.Version
}

// maxIgnoredLogged is how many values of one configuration that can't be used are logged.
const maxIgnoredLogged = 8

// putInForce puts the configuration of an update in force, unless a later one is. sent is
// when the read was sent.
func (c *configuration) putInForce(update *ryeford.ConfigurationUpdate, sent time.Time) {
	applied, took := c.replace(update.Configuration, sent)
	c.newer.setInForce(c.version(), took >= c.changeTimeout)
	_ = c.log.Log("decision", "configuration", "version", update.Configuration.Version, "revision", update.Revision,
		"routes", len(update.Configuration.Routes), "accounts", len(update.Configuration.Accounts), "took", roundTime(took), "applied", applied)
	if !applied {
		return
	}
	for _, value := range update.Ignored[:min(len(update.Ignored), maxIgnoredLogged)] {
		_ = c.log.Log("decision", "configuration_value", "version", update.Configuration.Version, "key", value.Key, "value", value.Value, "ignored", len(update.Ignored))
	}
}

// replace puts a configuration in force that was asked for at a time, unless a later one is.
// It reports whether it did, and how long that took.
func (c *configuration) replace(next *ryeford.Configuration, sent time.Time) (applied bool, elapsed time.Duration) {
	applied = c.inForce.Put(catalog.New(next))
	return applied, clock.Since(sent)
}

// mergePeerConfirmation takes the confirmation of a peer, whose address is from, that a version
// was the newest when the source's steady clock showed at.
func (c *configuration) mergePeerConfirmation(now time.Time, from netip.AddrPort, version int64, at time.Duration) {
	current := c.current()
	switch freshness.AfterPeer(current != nil, versionOf(current), version) {
	case freshness.PeerIsNewer:
		c.newer.recordReport(now, from, version)
		c.triggerRead()
	case freshness.PeerRenews:
		c.lease.RenewFromPeer(now, at)
	}
}

// triggerRead makes run read the configuration at once.
func (c *configuration) triggerRead() {
	select {
	case c.wake <- struct{}{}:
	default: // run is to read already
	}
}
