package agent

import (
	"context"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	// planCheckInterval is the interval at which the engines are compared with the plan.
	planCheckInterval = 500 * time.Millisecond
	// orderTimeout is how long an engine may take to load the ordered pools before the
	// order is repeated.
	orderTimeout = time.Minute
)

// pullNewerPlan pulls the plan that a gossip message announces from the message's sender,
// unless the agent has it already.
func (a *Agent) pullNewerPlan(ctx context.Context, conn *transport.Conn, m *wire.Gossip) {
	if a.plan.OlderThan(m.PlanEpoch, m.PlanSequence) {
		a.pullPlan(ctx, conn)
	}
}

// pullPlan pulls the part of the plan for this VM from a router. It does not retry after
// an error: the next gossip message announces the newer plan again.
func (a *Agent) pullPlan(ctx context.Context, conn *transport.Conn) {
	m, err := conn.Fetch(ctx, &wire.Message{PullPlan: &wire.PullPlan{VM: a.settings.VM}}, gossip.PullTimeout)
	if err != nil || m.Plan == nil || !a.plan.Set(m.Plan) {
		return
	}
	a.decisions.Record("", "decision", "plan", "epoch", m.Plan.Epoch, "sequence", m.Plan.Sequence, "assignments", len(m.Plan.Assignments))
}

// applyPlan orders the engines to serve the pools that the plan assigns to them, until
// ctx ends. It sends one order at a time. A leaving agent sends none.
func (a *Agent) applyPlan(ctx context.Context) error {
	return runPeriodically(ctx, planCheckInterval, func() {
		plan := a.plan.Get()
		if plan == nil || a.leaving.Load() {
			return
		}
		for i := range plan.Assignments {
			a.applyAssignment(ctx, plan, &plan.Assignments[i])
		}
	})
}

// An issuedOrder identifies the last order that was sent to an engine.
type issuedOrder struct {
	epoch    int64
	sequence int64
	at       time.Time
}

// orderDue reports whether an engine must be ordered to serve the pools that a plan
// assigns to it. No order is due if the engine serves them already, has seen a newer
// epoch, or is still loading: it reports the plan's epoch and was sent this order less
// than orderTimeout ago.
//
// An engine that reports an older epoch after this order is ordered again immediately: it
// does not check fences and accepted a stale order after the current one.
func orderDue(serving *ryeford.Order, plan *ryeford.Plan, assigned []ryeford.Pool, last issuedOrder, now time.Time) bool {
	if serving.Epoch > plan.Epoch || slices.Equal(serving.Pools, assigned) {
		return false
	}
	issued := last.epoch == plan.Epoch && last.sequence == plan.Sequence
	loading := issued && serving.Epoch == plan.Epoch
	return !loading || now.Sub(last.at) >= orderTimeout
}

// applyAssignment sends an order to one engine if one is due and the assignment has
// started. It reads the engine's state immediately before the order, so that an engine
// that does not check fences is not sent a superseded order.
func (a *Agent) applyAssignment(ctx context.Context, plan *ryeford.Plan, assignment *ryeford.Assignment) {
	b, ok := a.backends[assignment.Engine]
	if !ok || b.engine == nil || time.Now().Before(assignment.Start) {
		return
	}
	serving, err := b.engine.Serving(ctx)
	if err != nil {
		return // pollServing logs an engine that does not respond; the next check retries
	}
	now := time.Now()
	if !orderDue(&serving, plan, assignment.Pools, b.lastOrder, now) {
		return
	}
	b.lastOrder = issuedOrder{epoch: plan.Epoch, sequence: plan.Sequence, at: now}
	err = b.engine.Order(ctx, ryeford.Order{Epoch: plan.Epoch, Pools: assignment.Pools})
	a.decisions.Record("", "decision", "order", "engine", b.id, "epoch", plan.Epoch, "sequence", plan.Sequence,
		"seen", serving.Epoch, "pools", len(assignment.Pools), "reason", assignment.Reason, "checks_fences", b.checksFences, "err", err)
}
