// Package gateway is a router on a platform that keeps the operators'
// configuration and the list of endpoints itself. It takes callers' requests,
// chooses an endpoint for each, passes the answer on, and keeps nothing that
// must last.
//
// It knows no header and no call of the platform: those are behind
// ryeford.Protocol, ryeford.ConfigurationSource and ryeford.EndpointSource.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/holders"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/settings"
)

const (
	// leaseMargin is taken off the time after which a key that was taken away
	// must not work any more: for the way to the endpoint.
	leaseMargin = 500 * time.Millisecond
	// doubtLinger is how long an endpoint stays that the list dropped while the
	// list was in trouble: longer than endpoints take to write their entries
	// anew, shorter than the time in which a router counts as out of touch.
	doubtLinger = 2 * time.Second
	// departLinger is how long an endpoint that left without a word stays a source
	// of prompts: it serves on for as long as one that said so, and its address is
	// given to no other within that time.
	departLinger = 1800 * time.Millisecond
	// sweepEvery is how often resting connections and doubtful endpoints are
	// looked through.
	sweepEvery = 500 * time.Millisecond
	// reserveShare keeps a part of the common bound on repeats unused, since
	// routers count over slightly different spans.
	reserveShare = 0.9
)

// bodyShare is how many bytes of callers' bodies are kept at once, for each
// megabyte of the process's memory.
const bodyShare = 1 << 18

// A Platform is what a Gateway needs of the platform.
type Platform struct {
	Protocol       ryeford.Protocol
	Configurations ryeford.ConfigurationSource
	Endpoints      ryeford.EndpointSource
	// Routers may be nil where the settings name no address for peers.
	Routers ryeford.RouterList
	// ReadyPath is the path of the balancer's question.
	ReadyPath string
}

// A Gateway serves callers.
type Gateway struct {
	settings *settings.Gateway
	platform Platform
	log      log.Logger
	metrics  *telemetry.Set

	catalog  catalog.Current
	lease    *freshness.SharedLease
	roster   *roster.Roster
	detector *outlier.Detector
	pool     *endpoint.Pool
	loads    *loads
	holders  *holders.Map
	gossip   *gossip
	newer    chan struct{} // a peer has a newer configuration
	learned  *learned
	revision revision // the newest that the store has told
	regained bool     // the next list is the first since it was out of reach; only the watch uses it

	windowMu sync.Mutex
	windows  map[string]*retry.Window // by service

	durations *durations
	bodies    *semaphore.Weighted // bytes of callers' bodies that are kept

	turn     atomic.Uint64
	inFlight atomic.Int64
	drain    drainState
	wasReady atomic.Bool
}

// New returns a Gateway.
func New(s *settings.Gateway, platform Platform, logger log.Logger, metrics *telemetry.Set) *Gateway {
	g := &Gateway{
		settings:  s,
		platform:  platform,
		log:       logger,
		metrics:   metrics,
		newer:     make(chan struct{}, 1),
		learned:   newLearned(s.Routing.StartPatience),
		lease:     freshness.NewSharedLease(s.Bounds.Revoke - leaseMargin),
		roster:    roster.New(roster.Lingers{Doubtful: doubtLinger, Departed: departLinger}),
		detector:  outlier.New(outlierLimits),
		pool:      endpoint.New(platform.Protocol, endpoint.DefaultOptions()),
		loads:     newLoads(),
		holders:   holders.New(holderLimits),
		durations: newDurations(),
		bodies:    semaphore.NewWeighted(int64(s.Memory) * bodyShare),
		windows:   make(map[string]*retry.Window),
	}
	g.gossip = newGossip(g)
	g.addMetrics()
	return g
}

// holderLimits bound what is remembered of who holds which prompts.
var holderLimits = holders.Limits{Parts: 4096, PerPart: 4, Forget: time.Minute}

// outlierLimits say when an endpoint counts as failing.
var outlierLimits = outlier.Limits{
	Failures:   3,
	Share:      0.35,
	MinAnswers: 8,
	HalfLife:   4 * time.Second,
	Eject:      1500 * time.Millisecond,
	EjectMost:  6 * time.Second,
	Silence:    time.Second,
}

// Run serves until stop ends, and then until what is in flight has ended.
func (g *Gateway) Run(stop context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	callers, err := g.listen(work, g.settings.Callers.AddrPort, http.HandlerFunc(g.serveCaller))
	if err != nil {
		return err
	}
	callers.http.ConnState = g.noteConnection
	readiness, err := g.listen(work, g.settings.Readiness.AddrPort, http.HandlerFunc(g.serveReady))
	if err != nil {
		return err
	}
	_ = g.log.Log("msg", "started", "failure_domain", g.settings.FailureDomain,
		"callers", g.settings.Callers, "lease", g.settings.Bounds.Revoke-leaseMargin)
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return g.keepConfiguration(work) })
	group.Go(func() error { return g.watchEndpoints(work) })
	group.Go(func() error { return g.sweep(work) })
	group.Go(func() error { return g.gossip.run(work) })
	group.Go(func() error { return callers.serve() })
	group.Go(func() error { return readiness.serve() })
	if g.settings.Metrics.IsValid() {
		group.Go(func() error { return telemetry.Serve(work, g.settings.Metrics.AddrPort, g.metrics) })
	}
	group.Go(func() error {
		defer cancel()
		g.awaitDrain(stop, work, callers)
		readiness.close()
		return nil
	})
	err = group.Wait()
	_ = g.log.Log("msg", "stopped", "in_flight", g.inFlight.Load(), "err", err)
	return err
}

// A server is one HTTP server of the gateway.
type server struct {
	http     *http.Server
	listener net.Listener
}

// listen returns a server that is bound to its address.
func (g *Gateway) listen(work context.Context, address netip.AddrPort, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	return &server{
		listener: &callerListener{Listener: listener, idle: g.idleTimeout, header: g.headerTimeout},
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerMark,
			IdleTimeout:       idleMark,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          newServerLog(g.log),
			BaseContext:       func(net.Listener) context.Context { return work },
			// HTTP/1.1 only, as callers speak it.
			Protocols: http1(),
		},
	}, nil
}

// http1 returns the set of protocols that are served.
func http1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// serve serves until the server is closed.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close ends a server at once.
func (s *server) close() { _ = s.http.Close() }

// A ListenError says that a server could not be bound to its address.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

// Error returns the text of e.
func (e *ListenError) Error() string { return "listen on " + e.Address.String() + ": " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *ListenError) Unwrap() error { return e.Err }

// window returns the bound on repeats to a service.
func (g *Gateway) window(service string) *retry.Window {
	g.windowMu.Lock()
	defer g.windowMu.Unlock()
	w := g.windows[service]
	if w == nil {
		bounds := &g.settings.Bounds
		w = retry.NewWindow(time.Now(), retry.WindowLimits{
			Span:    bounds.RetryWindow,
			Ratio:   bounds.RetryRatio * reserveShare,
			Reserve: bounds.RetryReserve * reserveShare,
		})
		g.windows[service] = w
	}
	return w
}

// routers returns how many routers are taken to share a bound: those that are
// heard and a few more, which may just have started, but never fewer than the
// settings say.
func (g *Gateway) routers(now time.Time) int {
	const unheard = 4 // one in so many
	alive := g.gossip.table.Alive(now) + 1
	return max(g.settings.Routing.Routers, alive+alive/unheard)
}

// addMetrics adds the gauges.
func (g *Gateway) addMetrics() {
	g.metrics.Gauge("ryeford_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	g.metrics.Gauge("ryeford_endpoints", func() float64 { return float64(g.roster.Len()) })
	g.metrics.Gauge("ryeford_peers", func() float64 { return float64(g.gossip.table.Alive(time.Now())) })
	g.metrics.Gauge("ryeford_lease_seconds", func() float64 { return g.lease.Left(time.Now()).Seconds() })
	g.metrics.Gauge("ryeford_configuration_version", func() float64 {
		if c := g.catalog.Get(); c != nil {
			return float64(c.Version())
		}
		return 0
	})
}
