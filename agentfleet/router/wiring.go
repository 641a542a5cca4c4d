package router

import (
	"time"

	"github.com/google/uuid"

	"github.com/ryeford/ryeford/agentfleet/lease"
	"github.com/ryeford/ryeford/agentfleet/transport"
)

// addAgents adds what keeps the connections to the agents and exchanges messages on them.
func (r *Router) addAgents() {
	r.gossip = &agentGossip{
		vm:        r.settings.VM,
		interval:  r.settings.Transport.GossipInterval,
		book:      r.book,
		plan:      r.plan,
		fleet:     r.fleet,
		loads:     r.loads,
		control:   transport.NewControlLimiter(r.settings.Transport.ControlBytesPerSecond, r.metrics.ControlSent),
		decisions: r.decisions,
	}
	r.agents = &agentList{
		vm:        r.settings.VM,
		vms:       r.platform,
		interval:  r.settings.Polls.VMList,
		dialer:    r.dialer,
		fleet:     r.fleet,
		gossip:    r.gossip,
		requests:  &agentRequests{book: r.book, plan: r.plan, fleet: r.fleet},
		decisions: r.decisions,
		log:       r.log,
	}
}

// addTemplateSync adds what reads the accepted templates.
func (r *Router) addTemplateSync() {
	r.templateSync = &templateSync{
		store:     r.templates,
		interval:  r.settings.Polls.Templates,
		book:      r.book,
		fleet:     r.fleet,
		readiness: r.readiness,
		decisions: r.decisions,
		log:       r.log,
	}
}

// addPlanner adds what makes or follows the plan.
func (r *Router) addPlanner() {
	r.planner = &planner{
		settings:  &r.settings.Planner,
		table:     r.platform,
		objects:   r.platform,
		lease:     lease.New(r.platform, leaseName, r.settings.VM, uuid.NewString(), r.settings.Planner.Lease),
		book:      r.book,
		fleet:     r.fleet,
		readiness: r.readiness,
		recent:    make(recentEngines),
		plan:      r.plan,
		decisions: r.decisions,
		log:       r.log,
	}
}

// addCallers adds what serves callers.
func (r *Router) addCallers() {
	limits := &r.settings.Limits
	r.drain = &drain{limits: limits, readiness: r.readiness, decisions: r.decisions}
	r.callers = &callerHandler{
		limits:    limits,
		book:      r.book,
		fleet:     r.fleet,
		readiness: r.readiness,
		drain:     r.drain,
		metrics:   r.metrics,
	}
	r.callers.forwarder = &forwarder{
		limits:    limits,
		fleet:     r.fleet,
		loads:     r.loads,
		suspects:  newSuspects(),
		claims:    r.claims,
		budgets:   newBudgets(limits),
		gossip:    r.gossip,
		decisions: r.decisions,
		log:       r.log,
		metrics:   r.metrics,
	}
}

// addOperators adds what serves operators.
func (r *Router) addOperators() {
	r.operators = &operatorHandler{
		key:       r.settings.OperatorKey,
		vm:        r.settings.VM,
		domain:    r.settings.FailureDomain,
		vms:       r.platform,
		templates: r.templates,
		book:      r.book,
		plan:      r.plan,
		fleet:     r.fleet,
		loads:     r.loads,
		readiness: r.readiness,
		drain:     r.drain,
		decisions: r.decisions,
		log:       r.log,
	}
}

// addMetrics adds the gauges.
func (r *Router) addMetrics() {
	r.metrics.Gauge("ryeford_revision", func() float64 { return float64(r.book.Revision()) })
	r.metrics.Gauge("ryeford_agents_connected", func() float64 { return float64(r.fleet.reachable()) })
	r.metrics.Gauge("ryeford_in_flight", func() float64 { return float64(r.drain.inFlight.Load()) })
	r.metrics.Gauge("ryeford_skew", func() float64 { return r.loads.skew(time.Now()) })
}
