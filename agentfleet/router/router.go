// Package router implements the process on an entry VM of the fleet with agents. It
// accepts callers' requests, chooses engines for them, relays the answers, and serves
// the operators.
//
// A router has no durable state. In memory it keeps the agents' inventories and loads
// (fleet, loads), the templates in force (template.Cache), the current plan
// (plan.Tracker) and the accounts' budgets for further dispatches. After a restart it
// receives or earns them anew. Claims of idempotency keys, templates, plans and the
// planner's lease are stored as rows and objects of the platform.
//
// A Router creates and runs its components: agentList and agentGossip for the agents,
// planner, forwarder and operatorHandler. It synchronizes the templates itself.
//
// A request passes from callers.go through parse.go to an exchange (exchange.go), which
// dispatches it (dispatch.go), receives the answer (receive.go) and recovers it after a
// failure (recover.go). If its idempotency key needs a claim, the key is claimed first
// (claimed.go). The decision rules are functions without I/O, listed in
// docs/decisions.md.
package router

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/lease"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

// A Platform is the part of the platform that a router uses.
type Platform interface {
	ryeford.Table
	ryeford.ObjectStore
	ryeford.VMList
}

// A sharedState is what the components of a router share.
type sharedState struct {
	settings      *settings.Router
	limits        *settings.RouterLimits // the limits of settings
	platform      Platform
	templates     *template.Store
	templateCache *template.Cache // updated by syncTemplates and agentGossip
	plan          *plan.Tracker   // updated by planner
	fleet         *fleet          // updated by agentList
	loads         *loads
	readiness     *readiness
	decisions     *decision.Log
	metrics       *telemetry.Set
	log           log.Logger
}

// A Router serves callers and operators.
type Router struct {
	sharedState
	dialer    *transport.Dialer
	agents    *agentList
	gossip    *agentGossip
	planner   *planner
	claims    *claim.Store
	callers   *forwarder
	operators *operatorHandler
}

// New returns a Router.
func New(s *settings.Router, tlsConfig *tls.Config, platform Platform, logger log.Logger) (*Router, error) {
	dialer, err := transport.NewDialer(s.Callers.Addr(), tlsConfig, &s.Transport)
	if err != nil {
		return nil, err
	}
	fleet := newFleet()
	r := &Router{dialer: dialer, claims: claim.New(platform), sharedState: sharedState{
		settings:      s,
		limits:        &s.Limits,
		platform:      platform,
		templates:     template.NewStore(platform),
		templateCache: template.NewCache(),
		plan:          plan.NewTracker(),
		fleet:         fleet,
		loads:         newLoads(),
		readiness:     &readiness{fleet: fleet},
		decisions:     decision.NewLog(logger),
		metrics:       telemetry.NewSet(),
		log:           logger,
	}}
	control := transport.NewControlLimiter(s.Transport.ControlBytesPerSecond, r.metrics.AddGossipBytesSent)
	r.gossip = &agentGossip{sharedState: &r.sharedState, control: control}
	r.agents = &agentList{sharedState: &r.sharedState, dialer: dialer, gossip: r.gossip}
	plannerLease := lease.New(platform, leaseName, s.VM, uuid.NewString(), s.Planner.Lease)
	r.planner = &planner{sharedState: &r.sharedState, lease: plannerLease, engines: make(recentEngines)}
	r.addCallers()
	r.operators = &operatorHandler{sharedState: &r.sharedState}
	r.addGauges()
	return r, nil
}

// addCallers adds the components that serve callers.
func (r *Router) addCallers() {
	r.callers = &forwarder{
		sharedState: &r.sharedState,
		gossip:      r.gossip,
		claims:      r.claims,
		suspects:    newSuspects(),
		budgets:     newBudgets(r.limits),
	}
}

func (r *Router) addGauges() {
	r.metrics.Gauge("ryeford_revision", func() float64 { return float64(r.templateCache.Revision()) })
	r.metrics.Gauge("ryeford_agents_connected", func() float64 { return float64(r.fleet.connectedCount()) })
	r.metrics.Gauge("ryeford_in_flight", func() float64 { return float64(r.readiness.inFlight.Load()) })
	r.metrics.Gauge("ryeford_skew", func() float64 { return r.loads.skew(time.Now()) })
}

// Run serves until ctx ends, and then until the requests in flight have ended.
func (r *Router) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	maxBody := r.limits.MaxBody
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return r.agents.run(workCtx) })
	group.Go(func() error { return r.syncTemplates(workCtx) })
	group.Go(func() error { return r.gossip.run(workCtx) })
	group.Go(func() error { return r.claims.Run(workCtx) })
	group.Go(func() error { return r.planner.run(workCtx) })
	group.Go(func() error { return serveHTTP(workCtx, r.settings.Callers.AddrPort, maxBody, r.callers.serve) })
	group.Go(func() error { return serveHTTP(workCtx, r.settings.Operators.AddrPort, maxBody, r.operators.serve) })
	group.Go(func() error {
		defer cancel()
		return r.drain(ctx, workCtx)
	})
	_ = r.log.Log("msg", "started", "role", "router", "callers", r.settings.Callers, "operators", r.settings.Operators)
	err := group.Wait()
	_ = r.dialer.Close() // the process exits, which closes the sockets
	_ = r.log.Log("msg", "stopped", "role", "router")
	return err
}
