// Package gateway is a router on a platform that keeps the operators'
// configuration and the list of endpoints itself. It takes callers' requests,
// chooses an endpoint for each, passes the answer on, and keeps nothing that
// must last.
//
// A Gateway wires its parts together (wiring.go) and runs them. Each part owns one
// piece of state: configuration, endpointList, gossip, drain, probeHandler, and
// server for the HTTP servers. A request's life begins in handler.go. The packages below
// this one hold the rules by which the parts decide.
//
// The package knows no header and no call of the platform: it is given those as
// ryeford.Protocol, ryeford.ConfigurationSource and ryeford.EndpointSource.
package gateway

import (
	"context"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

// A Platform is what a Gateway needs of the platform.
type Platform struct {
	Protocol       ryeford.Protocol
	Configurations ryeford.ConfigurationSource
	Endpoints      ryeford.EndpointSource
	// Routers may be nil if the settings name no address for peers.
	Routers ryeford.RouterList
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

	// What several parts use:
	*balancer // what is known of the endpoints
	pool      *endpoint.Pool
	revision  *revision // the newest of the store
}

// New returns a Gateway.
func New(s *settings.Gateway, platform Platform, logger log.Logger, metrics *telemetry.Set) *Gateway {
	g := &Gateway{
		settings:    s,
		platform:    platform,
		log:         logger,
		metrics:     metrics,
		balancer:    newBalancer(s),
		pool:        endpoint.New(platform.Protocol),
		revision:    &revision{},
		drain:       newDrain(s.Bounds.Grace, logger),
		initialSync: newInitialSync(s.Routing.StartPatience),
	}
	g.addConfiguration()
	g.addEndpoints()
	g.addGossip()
	g.addProbes()
	g.addHandler()
	g.addMetrics()
	return g
}

// Run serves until stop ends, and then until what is in flight has ended.
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
	group.Go(func() error { return g.endpoints.sweep(work) })
	group.Go(func() error { return g.gossip.run(work) })
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
