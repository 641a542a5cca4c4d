// Package router is the process on an entry VM of the fleet with agents: it takes
// callers' requests, chooses engines for them, relays the answers, and serves the
// operators.
//
// It owns nothing that must last. It holds what agents say of themselves (fleet, loads),
// the templates in force (template.Book), the current plan (plan.Current) and the
// accounts' budgets for further dispatches; all of it is read or earned again after a
// restart. Claims of idempotency keys, templates, plans and the planner's lease are rows
// and objects of the platform.
//
// A Router wires its parts together (wiring.go) and runs them: agentList, agentGossip and
// agentRequests for the agents, templateSync, planner, drain, callerHandler and
// operatorHandler.
//
// A request goes from callers.go through parse.go to an exchange (exchange.go), which
// dispatches it (dispatch.go), receives the answer (receive.go) and recovers it
// (recover.go); one with an idempotency key that must not run twice is claimed
// first (claimed.go). What all exchanges share is a forwarder. The rules are functions
// without I/O: afterFailure and finalError in retry.go, afterLostStream in recover.go,
// afterClaim in claimed.go, mayWait and mayRedirect in dispatch.go, redirected in
// candidates.go, newErrorBody in failure.go, ready in readiness.go. docs/decisions.md
// lists them.
package router

import (
	"context"
	"crypto/tls"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

// A Platform is what a router needs of the platform.
type Platform interface {
	ryeford.Table
	ryeford.ObjectStore
	ryeford.VMList
}

// A Router serves callers and operators.
type Router struct {
	settings *settings.Router
	platform Platform
	log      log.Logger
	dialer   *transport.Dialer

	agents       *agentList
	gossip       *agentGossip
	templateSync *templateSync
	planner      *planner
	drain        *drain
	callers      *callerHandler
	operators    *operatorHandler

	// What several parts use:
	book      *template.Book // kept by templateSync and gossip
	templates *template.Store
	plan      *plan.Current // kept by planner
	fleet     *fleet        // kept by agents
	loads     *loads
	claims    *claim.Claims
	readiness *readiness
	decisions *decision.Log
	metrics   *telemetry.Set
}

// New returns a Router.
func New(s *settings.Router, tlsConfig *tls.Config, platform Platform, logger log.Logger) (*Router, error) {
	dialer, err := transport.NewDialer(s.Callers.Addr(), tlsConfig, &s.Transport)
	if err != nil {
		return nil, err
	}
	fleet := newFleet()
	r := &Router{
		settings:  s,
		platform:  platform,
		log:       logger,
		dialer:    dialer,
		book:      template.NewBook(),
		templates: template.NewStore(platform),
		plan:      plan.NewCurrent(),
		fleet:     fleet,
		loads:     newLoads(),
		claims:    claim.New(platform),
		readiness: &readiness{fleet: fleet},
		decisions: decision.NewLog(logger),
		metrics:   telemetry.NewSet(),
	}
	r.addAgents()
	r.addTemplateSync()
	r.addPlanner()
	r.addCallers()
	r.addOperators()
	r.addMetrics()
	return r, nil
}

// Run serves until ctx ends, and then until what is in flight has ended.
func (r *Router) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	maxBody := r.settings.Limits.MaxBody
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return r.agents.run(work) })
	group.Go(func() error { return r.templateSync.run(work) })
	group.Go(func() error { return r.gossip.run(work) })
	group.Go(func() error { return r.claims.Run(work) })
	group.Go(func() error { return r.planner.run(work) })
	group.Go(func() error { return serveHTTP(work, r.settings.Callers.AddrPort, maxBody, r.callers.serve) })
	group.Go(func() error { return serveHTTP(work, r.settings.Operators.AddrPort, maxBody, r.operators.serve) })
	group.Go(func() error {
		defer cancel()
		return r.drain.run(ctx, work)
	})
	_ = r.log.Log("msg", "started", "role", "router", "callers", r.settings.Callers, "operators", r.settings.Operators)
	err := group.Wait()
	_ = r.dialer.Close() // the process ends, and its sockets with it
	_ = r.log.Log("msg", "stopped", "role", "router")
	return err
}
