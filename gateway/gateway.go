// Package gateway implements the router on a platform that stores the operators' configuration and the
// list of endpoints. A router accepts callers' requests, chooses an endpoint for each, relays the
// response, and stores nothing durably.
//
// A Gateway creates its components and runs them. Each component owns one piece of state:
// configuration, evacuations, endpointList, gossip, drain, probeHandler, and server for the HTTP
// servers. Request handling starts in handler.go. The decision rules are in the packages below this
// one.
//
// The package contains no header names and no calls of the platform: these come from ryeford.Protocol,
// ryeford.ConfigurationSource and ryeford.EndpointSource.
package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/callermemory"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/overload"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/settings"
)

// A Platform holds the platform's implementations that a Gateway uses.
type Platform struct {
	Protocol       ryeford.Protocol
	Configurations ryeford.ConfigurationSource
	Endpoints      ryeford.EndpointSource
	// Routers may be nil if the settings configure no address for peers.
	Routers ryeford.RouterList
	// HeldRequests may be nil: held requests are then known to the running routers only.
	HeldRequests ryeford.QuarantineStore
	// Streams may be nil: which versions began streams is then known to the running routers only.
	Streams ryeford.StreamStore
	// ReadyPath is the path of the load balancer's readiness probe.
	ReadyPath string
}

// A Gateway serves callers.
type Gateway struct {
	settings *settings.Gateway
	platform Platform
	log      log.Logger
	metrics  *telemetry.Set

	configuration *configuration
	endpoints     *endpointList
	gossip        *gossip
	drain         *drain
	probes        *probeHandler
	initialSync   *initialSync
	handler       *handler

	// Shared by several components:
	*balancer  // what is known of the endpoints
	pool       *endpoint.Pool
	revision   *storeRevision // the newest revision received from the store
	quarantine *quarantineState
	overload   *overload.Table
	streams    *streams
}

// New returns a Gateway that is not running yet.
func New(s *settings.Gateway, platform Platform, logger log.Logger, metrics *telemetry.Set) *Gateway {
	g := &Gateway{
		settings:    s,
		platform:    platform,
		log:         logger,
		metrics:     metrics,
		balancer:    newBalancer(s),
		pool:        endpoint.New(platform.Protocol),
		revision:    &storeRevision{},
		overload:    overload.New(overload.Options{Limits: s.Routing.ConcurrencyLimits, FairShares: s.Routing.FairShares}),
		drain:       newDrain(s.Bounds.Grace, logger),
		initialSync: newInitialSync(s.Routing.StartTimeout),
	}
	g.streams = newStreams(s, g.balancer, platform.Streams, logger, metrics)
	g.initialSync.onWait = g.startup.setRequested
	g.revision.onRestore = g.handleRestore
	g.addQuarantine()
	g.addConfiguration()
	g.addEndpoints()
	g.addGossip()
	g.addProbes()
	g.addHandler()
	g.addMetrics()
	return g
}

// The components of a Gateway are added in dependency order.

func (g *Gateway) addQuarantine() {
	g.quarantine = newQuarantineState(g.balancer, g.log, g.metrics)
	g.quarantine.partsDisabled = !g.settings.Routing.QuarantineParts
	if !g.settings.Routing.Quarantine {
		g.quarantine.disabled = true
		return
	}
	g.quarantine.setStore(g.platform.HeldRequests, g.settings.Peers.IsValid())
}

func (g *Gateway) addConfiguration() {
	g.configuration = newConfiguration(configurationOptions{
		source:            g.platform.Configurations,
		term:              freshness.Term(g.settings.Bounds.Revoke),
		serveKeysInOutage: !g.settings.Bounds.StrictRevoke,
		refresh:           g.settings.ConfigurationRefreshAge(),
		latest:            g.settings.ConfigurationLatestAge(),
		changeTimeout:     g.settings.Bounds.Configuration,
		unreachableAfter:  g.settings.StoreUnreachableAfter(),
		peers:             g.peers,
		clock:             g.clock,
		startup:           g.startup,
		revision:          g.revision,
		evacuations:       newEvacuations(g.roster, g.log, g.metrics),
		onUpdate:          g.configurationUpdated,
		log:               g.log,
		metrics:           g.metrics,
	})
}

// configurationUpdated is called after each answer of the configuration's source.
func (g *Gateway) configurationUpdated() {
	g.streams.history.Extend(streamMemoryFactor * g.configuration.current().LongestStream(defaultTimeout))
	g.checkSynced()
}

func (g *Gateway) addEndpoints() {
	g.endpoints = &endpointList{
		source:          g.platform.Endpoints,
		limits:          listLimits(g.settings),
		settle:          g.settings.EndpointsSettle(),
		recoveryTimeout: g.settings.Bounds.Contact,
		copy:            replica.New(),
		lease:           freshness.NewLease(clock.Now(), time.Hour, g.clock),
		clock:           g.clock,
		peers:           g.peers,
		reader:          newPeerReader(),
		startup:         g.startup,
		revision:        g.revision,
		roster:          g.roster,
		backoffs:        g.backoffs,
		pool:            g.pool,
		streams:         g.streams,
		removers:        []endpointRemover{g.detector, g.loads, g.prefixes, g.slowStart},
		outage:          newOutage("endpoints", g.configuration.leaseRemaining, g.log, g.metrics),
		onUpdate:        g.checkSynced,
		log:             g.log,
		metrics:         g.metrics,
		sweepDue:        make(chan struct{}, 1),
		newerCopy:       make(chan peerCopy, 1),
	}
}

// listLimits returns the limits for reading the list of endpoints.
func listLimits(s *settings.Gateway) replica.Limits {
	limits := replica.NewLimits(s.Bounds.Drain, s.Routing.EndpointsWait)
	limits.Hold = min(limits.Hold, s.EndpointsWait())
	return limits
}

func (g *Gateway) addGossip() {
	g.gossip = &gossip{
		self:          g.settings.Peers.AddrPort,
		seeds:         seedAddresses(g.settings),
		joiningPeers:  make(chan netip.AddrPort, maxJoiningPeers),
		vm:            g.settings.VM,
		routers:       g.platform.Routers,
		started:       clock.Monotonic().Nanoseconds(),
		table:         g.peers,
		startup:       g.startup,
		configuration: g.configuration,
		endpoints:     g.endpoints,
		roster:        g.roster,
		prefixes:      g.prefixes,
		loads:         g.loads,
		quarantine:    g.quarantine,
		overload:      g.overload,
		streams:       g.streams,
		log:           g.log,

		implausibleLog: rate.Sometimes{First: 1, Interval: implausibleLogInterval},
		metrics:        g.metrics,
	}
}

// maxJoiningPeers is the maximum number of new peers that wait for a join reply.
const maxJoiningPeers = 128

// seedAddresses returns the configured gossip addresses of the other gateways.
func seedAddresses(s *settings.Gateway) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range s.Seeds {
		if seed.AddrPort != s.Peers.AddrPort {
			seeds = append(seeds, seed.AddrPort)
		}
	}
	return seeds
}

func (g *Gateway) addProbes() {
	g.probes = &probeHandler{
		path:          g.platform.ReadyPath,
		configuration: g.configuration,
		roster:        g.roster,
		drain:         g.drain,
		log:           g.log,
	}
}

func (g *Gateway) addHandler() {
	s := g.settings
	g.handler = &handler{
		forwarder:   g.newForwarder(),
		drain:       g.drain,
		initialSync: g.initialSync,
		budgets:     retry.NewWindows(retry.WindowLimits{Length: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryRatio, Reserve: s.Bounds.RetryReserve}),
	}
}

func (g *Gateway) newForwarder() *forwarder {
	return &forwarder{
		balancer:         g.balancer,
		protocol:         g.platform.Protocol,
		configuration:    g.configuration,
		pool:             g.pool,
		gossip:           g.gossip,
		minBudgetRouters: g.settings.Routing.Routers,
		durations:        newDurations(),
		refusals:         newRefusals(),
		overload:         g.overload,
		quarantine:       g.quarantine,
		streams:          g.streams,
		callerMemory:     callermemory.New(admit.CallerMemory(g.settings.Memory)),
		minResponseTimes: newMinResponseTimes(),
		log:              g.log,
		metrics:          g.metrics,
	}
}

// Run serves until stop is done and the requests in flight have completed.
func (g *Gateway) Run(stop context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	callers, err := g.newServer(work, g.settings.Callers.AddrPort, g.handler)
	if err != nil {
		return err
	}
	callers.http.ConnState = g.drain.recordConnection
	probes, err := g.newServer(work, g.settings.Readiness.AddrPort, g.probes)
	if err != nil {
		return err
	}
	_ = g.log.Log("msg", "started", "failure_domain", g.settings.FailureDomain,
		"callers", g.settings.Callers, "lease", freshness.Term(g.settings.Bounds.Revoke))
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return g.configuration.run(work) })
	group.Go(func() error { return g.endpoints.run(work) })
	group.Go(func() error { return g.endpoints.readPeers(work) })
	group.Go(func() error { return g.endpoints.sweep(work) })
	group.Go(func() error { return g.gossip.run(work) })
	group.Go(func() error { return g.quarantine.heldRequests.run(work) })
	group.Go(func() error { return g.streams.run(work) })
	group.Go(func() error { return logSuspensions(work, g.log, g.metrics) })
	group.Go(func() error {
		handler := &peerHandler{configuration: g.configuration, endpoints: g.endpoints, log: g.log}
		return handler.serve(work, g.settings.Peers.AddrPort)
	})
	group.Go(func() error { return callers.serve() })
	group.Go(func() error { return probes.serve() })
	if g.settings.Metrics.IsValid() {
		group.Go(func() error { return telemetry.Serve(work, g.settings.Metrics.AddrPort, g.metrics) })
	}
	group.Go(func() error {
		defer cancel()
		g.drain.run(stop, work, callers)
		probes.close()
		return nil
	})
	err = group.Wait()
	_ = g.log.Log("msg", "stopped", "in_flight", g.drain.inFlight.Load(), "err", err)
	return err
}
