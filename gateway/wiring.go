package gateway

import (
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/retry"
)

func (g *Gateway) addConfiguration() {
	g.configuration = newConfiguration(configurationOptions{
		source:   g.platform.Configurations,
		term:     freshness.Term(g.settings.Bounds.Revoke),
		refresh:  g.settings.RefreshConfiguration(),
		bound:    g.settings.Bounds.Configuration,
		contact:  g.settings.Bounds.Contact,
		peers:    g.peers,
		revision: g.revision,
		onUpdate: g.checkSynced,
		log:      g.log,
		metrics:  g.metrics,
	})
}

func (g *Gateway) addEndpoints() {
	g.endpoints = &endpointList{
		source:     g.platform.Endpoints,
		wait:       g.settings.WaitForEndpoints(),
		settle:     g.settings.SettleEndpoints(),
		contact:    g.settings.Bounds.Contact,
		revision:   g.revision,
		roster:     g.roster,
		pool:       g.pool,
		forgetters: []forgetter{g.detector, g.loads, g.prefixes},
		outage:     newOutage("endpoints", g.configuration.leaseLeft, g.log, g.metrics),
		onUpdate:   g.checkSynced,
		log:        g.log,
		dropped:    make(chan struct{}, 1),
	}
}

func (g *Gateway) addGossip() {
	g.gossip = &gossip{
		self:          g.settings.Peers.AddrPort,
		vm:            g.settings.VM,
		routers:       g.platform.Routers,
		started:       time.Now().UnixNano(),
		table:         g.peers,
		configuration: g.configuration,
		roster:        g.roster,
		prefixes:      g.prefixes,
		loads:         g.loads,
		log:           g.log,
		metrics:       g.metrics,
	}
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
	durations := newDurations()
	g.handler = &handler{
		protocol:      g.platform.Protocol,
		configuration: g.configuration,
		roster:        g.roster,
		drain:         g.drain,
		initialSync:   g.initialSync,
		bodies:        semaphore.NewWeighted(admit.BodyMemory(s.Memory)),
		budgets:       retry.NewWindows(retry.WindowLimits{Span: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryRatio, Reserve: s.Bounds.RetryReserve}),
		durations:     durations,
		log:           g.log,
		metrics:       g.metrics,
	}
	g.handler.forwarder = &forwarder{
		balancer:      g.balancer,
		protocol:      g.platform.Protocol,
		configuration: g.configuration,
		pool:          g.pool,
		gossip:        g.gossip,
		minSharers:    s.Routing.Routers,
		durations:     durations,
		log:           g.log,
		metrics:       g.metrics,
	}
}

func (g *Gateway) addMetrics() {
	g.metrics.Gauge("ryeford_in_flight", func() float64 { return float64(g.drain.inFlight.Load()) })
	g.metrics.Gauge("ryeford_endpoints", func() float64 { return float64(g.roster.Len()) })
	g.metrics.Gauge("ryeford_peers", func() float64 { return float64(g.peers.Alive(time.Now())) })
	g.metrics.Gauge("ryeford_lease_seconds", func() float64 { return g.configuration.lease.Left(time.Now()).Seconds() })
	g.metrics.Gauge("ryeford_configuration_version", func() float64 { return float64(g.configuration.version()) })
}
