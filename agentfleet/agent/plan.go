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
	// planCheckInterval is how often engines are compared with the plan.
	planCheckInterval = 500 * time.Millisecond
	// orderTimeout is how long an engine may take to load what it was ordered,
	// before the order is given again.
	orderTimeout = time.Minute
)

// pullNewerPlan reads this VM's part of the plan that a message names from its sender,
// unless it is known by now.
func (a *Agent) pullNewerPlan(ctx context.Context, conn *transport.Conn, m *wire.Gossip) {
	if a.plan.OlderThan(m.PlanEpoch, m.PlanSequence) {
		a.pullPlan(ctx, conn)
	}
}

// pullPlan reads this VM's part of the plan from a router. After an error the next
// gossip of a router shows the newer plan again.
func (a *Agent) pullPlan(ctx context.Context, conn *transport.Conn) {
	m, err := conn.Fetch(ctx, &wire.Message{PullPlan: &wire.PullPlan{VM: a.settings.VM}}, gossip.PullTimeout)
	if err != nil || m.Plan == nil || !a.plan.Set(m.Plan) {
		return
	}
	a.decisions.Record("", "decision", "plan", "epoch", m.Plan.Epoch, "sequence", m.Plan.Sequence, "assignments", len(m.Plan.Assignments))
}

// applyPlan orders the engines to serve what the plan says, until ctx ends.
// One order is under way at a time. A leaving agent gives none.
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

// An issuedOrder is the last order that an engine was given.
type issuedOrder struct {
	epoch    int64
	sequence int64
	at       time.Time
}

// orderDue reports whether an engine is to be ordered to serve what a plan assigns
// to it: unless it does already, has seen a newer epoch, or was given this very
// order less than orderTimeout ago and shows its epoch, so that it is loading.
//
// An engine that shows an older epoch is ordered again at once: an old order came
// after the current one, and the engine checks no fences.
func orderDue(serving *ryeford.Order, plan *ryeford.Plan, assigned []ryeford.Pool, last issuedOrder, now time.Time) bool {
	if serving.Epoch > plan.Epoch || slices.Equal(serving.Pools, assigned) {
		return false
	}
	issued := last.epoch == plan.Epoch && last.sequence == plan.Sequence
	loading := issued && serving.Epoch == plan.Epoch
	return !loading || now.Sub(last.at) >= orderTimeout
}

// applyAssignment orders one engine, from the assignment's start on, if an order is
// due. What the engine serves is read right before, so that one without fences is
// not given an order that another one superseded.
func (a *Agent) applyAssignment(ctx context.Context, plan *ryeford.Plan, assignment *ryeford.Assignment) {
	b, ok := a.backends[assignment.Engine]
	if !ok || b.engine == nil || time.Now().Before(assignment.Start) {
		return
	}
	serving, err := b.engine.Serving(ctx)
	if err != nil {
		return // pollServing logs an engine that does not answer; the next check asks again
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
