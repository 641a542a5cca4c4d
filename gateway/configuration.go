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
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/watch"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// A configuration holds the operators' configuration as this router has read it: the catalog in force,
// the lease that limits how long it may be used without confirmation, and the loop that reads it. It
// is safe for concurrent use.
type configuration struct {
	configurationOptions
	inForce catalog.Current
	lease   *freshness.Lease
	newer   newerVersion
	wake    chan struct{} // holds one entry if a peer has reported a newer version

	// The following fields are used only by run.
	peerReader  *peerReader
	outage      *watch.Outage
	state       ryeford.ConfigurationState // state at the source, from the last accepted answer
	size        int                        // size of the configuration in that answer, in bytes
	failedReads int                        // consecutive reads without an accepted answer
}

// configurationOptions are the dependencies and limits of a configuration.
type configurationOptions struct {
	source ryeford.ConfigurationSource
	// term is how long a configuration may be used after it was confirmed.
	term time.Duration
	// refresh is the age at which a router without peers reads the configuration again.
	refresh time.Duration
	// latest is the age at which the last router of a fleet reads it again at the latest.
	latest time.Duration
	// serveKeysInOutage allows requests that need a key to be served after the lease has ended while
	// the source is unavailable.
	serveKeysInOutage bool
	// changeTimeout is the time within which a change must be in force. A source that has not answered
	// for unreachableAfter counts as unreachable.
	changeTimeout, unreachableAfter time.Duration
	// peers determines which router reads next.
	peers   *peers.Table
	startup *startup
	// clock tracks the source's clock.
	clock *freshness.SourceClock
	// revision is the newest revision of the store, across all of its tables.
	revision    *storeRevision
	evacuations *evacuations
	// onUpdate is called after each answer while a configuration is in force.
	onUpdate func()
	log      log.Logger
	metrics  *telemetry.Set
}

// newConfiguration returns a configuration that has not been read yet.
func newConfiguration(options configurationOptions) *configuration {
	if options.clock == nil {
		options.clock = &freshness.SourceClock{}
	}
	if options.startup == nil {
		options.startup = &startup{}
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
	c.outage = newOutage("configuration", c.leaseRemaining, options.log, options.metrics)
	return c
}

// current returns the catalog in force, or nil if there is none yet.
func (c *configuration) current() *catalog.Catalog { return c.inForce.Get() }

// version returns the version of the configuration in force, or zero if there is none.
func (c *configuration) version() int64 { return versionOf(c.current()) }

// superseded reports whether the configuration in force must no longer be used because a newer one
// is known or may exist.
func (c *configuration) superseded(now time.Time) bool {
	if !c.newer.mayExist() {
		return false
	}
	confirmed, _ := c.lease.Age(now)
	sinceContact, ever := c.revision.sinceContact(now)
	return ever && freshness.Superseded(confirmed, sinceContact, c.changeTimeout, c.unreachableAfter)
}

// reliable reports whether the lease of the configuration in force is valid.
func (c *configuration) reliable(now time.Time) bool { return c.lease.Valid(now) }

// servesKeys reports whether requests that need a key are served with the configuration in force.
func (c *configuration) servesKeys(now time.Time) bool {
	return freshness.ServesKeys(c.serveKeysInOutage, c.reliable(now), c.newer.mayExist())
}

// leaseRemaining returns the time until the lease ends, rounded for the log.
func (c *configuration) leaseRemaining() time.Duration {
	return c.lease.Remaining(clock.Now()).Round(time.Millisecond)
}

// read reads the configuration once and reports whether the source answered.
func (c *configuration) read(ctx context.Context) bool {
	// A source whose version is older than the one in force was restored from a backup. Which other
	// changes it lost is unknown, so its answer confirms nothing.
	known := freshness.SourceState{Revision: c.revision.get(), Version: max(c.newer.reportedVersion(), c.version())}
	if c.newer.reportedVersion() > c.version() && c.readFromPeer(ctx) {
		return true
	}
	c.metrics.Count("ryeford_store_calls_total", causeConfiguration)
	sent := clock.Now()
	update, err := c.fetch(ctx)
	if ctx.Err() != nil {
		return false // the gateway is shutting down: not an outage
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

// fetch asks the source for the configuration, or only for a change to it.
func (c *configuration) fetch(ctx context.Context) (ryeford.ConfigurationUpdate, error) {
	known := ryeford.KnownConfiguration{
		State: c.state, Size: c.size, OnChange: c.sourceChanged,
		Evacuations: c.evacuations.lastRead(), FailureDomains: c.evacuations.roster.FailureDomains(),
	}
	if freshness.UseComparison(freshness.ReadState{Size: c.size, FailedReads: c.failedReads, Outdated: c.newer.known()}) {
		return c.source.ConfigurationIfChanged(ctx, known)
	}
	return c.source.Configuration(ctx, known)
}

// sourceChanged records that the source has a different configuration, which is about to be
// transferred.
func (c *configuration) sourceChanged() {
	c.newer.setChanged()
	_ = c.log.Log("decision", "configuration_news", "superseded", c.state)
}

// apply puts the configuration of an answer in force if it is new, and renews the lease. It reports
// whether the answer was accepted. known is the newest state that was known when the read was sent.
func (c *configuration) apply(update *ryeford.ConfigurationUpdate, known freshness.SourceState, sent time.Time) bool {
	read := freshness.SourceState{Revision: update.Revision, Version: c.versionIn(update)}
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
		_ = c.log.Log("decision", "configuration", "revision", update.Revision, "applied", false, "why", "the source no longer has a configuration")
		return false
	}
	c.lease.RenewRead(sent, update.ResponseStarted, update.Clock)
	c.onUpdate()
	return true
}

// versionIn returns the version that the source has according to an update, or zero if it has none.
func (c *configuration) versionIn(update *ryeford.ConfigurationUpdate) int64 {
	switch {
	case update.Unchanged:
		return c.version()
	case update.Configuration == nil:
		return 0
	}
	return update.Configuration.Version
}

// maxIgnoredLogged is the maximum number of ignored values that are logged per configuration.
const maxIgnoredLogged = 8

// putInForce puts the configuration of an update in force, unless a later one already is. sent is when
// the read was sent.
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

// replace puts a configuration in force that was requested at sent, unless a later one already is. It
// reports whether it did, and the time since sent.
func (c *configuration) replace(next *ryeford.Configuration, sent time.Time) (applied bool, elapsed time.Duration) {
	applied = c.inForce.Put(catalog.New(next))
	return applied, clock.Since(sent)
}

// mergePeerConfirmation merges a confirmation from a peer: version was the newest when the source's
// monotonic clock showed at.
func (c *configuration) mergePeerConfirmation(now time.Time, from netip.AddrPort, version int64, at time.Duration) {
	current := c.current()
	switch freshness.PeerActionFor(current != nil, versionOf(current), version) {
	case freshness.PeerIsNewer:
		c.newer.recordReport(now, from, version)
		c.triggerRead()
	case freshness.PeerConfirms:
		c.lease.RenewFromPeer(now, at)
	}
}

// triggerRead makes run read the configuration immediately.
func (c *configuration) triggerRead() {
	select {
	case c.wake <- struct{}{}:
	default: // a read is already pending
	}
}
