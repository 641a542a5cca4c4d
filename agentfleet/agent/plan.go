package agent

import (
	"context"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const planCheckInterval = 500 * time.Millisecond

// A planState is the newest plan that the agent knows: this VM's part of it.
type planState struct {
	plan *ryeford.Plan
}

// knownPlan returns the epoch and sequence of the newest plan.
func (a *Agent) knownPlan() (epoch, sequence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.plan.plan == nil {
		return 0, 0
	}
	return a.plan.plan.Epoch, a.plan.plan.Sequence
}

// planIsNews reports whether a plan supersedes the one that is known.
func (a *Agent) planIsNews(epoch, sequence int64) bool {
	if epoch == 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return (&ryeford.Plan{Epoch: epoch, Sequence: sequence}).Newer(a.plan.plan)
}

// pullPlan reads this VM's part of the plan from a router.
func (a *Agent) pullPlan(ctx context.Context, conn *transport.Conn) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	m, err := conn.Ask(ctx, &wire.Message{PullPlan: &wire.PullPlan{VM: a.settings.VM}})
	if err != nil || m.Plan == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !m.Plan.Newer(a.plan.plan) {
		return
	}
	a.plan.plan = m.Plan
	_ = a.decisions.Note("", "decision", "plan", "epoch", m.Plan.Epoch, "sequence", m.Plan.Sequence, "assignments", len(m.Plan.Assignments))
}

// applyPlan orders the engines to serve what the plan says, until ctx ends.
// One order is under way at a time.
func (a *Agent) applyPlan(ctx context.Context) error {
	ticker := time.NewTicker(planCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		a.mu.Lock()
		plan := a.plan.plan
		a.mu.Unlock()
		if plan == nil || a.leaving.Load() {
			continue
		}
		for i := range plan.Assignments {
			a.applyAssignment(ctx, plan, &plan.Assignments[i])
		}
	}
}

// An issued is the last order that an engine was given.
type issued struct {
	epoch    int64
	sequence int64
	at       time.Time
}

// orderPatience is how long an engine may take to load what it was ordered,
// before the order is given again.
const orderPatience = time.Minute

// applyAssignment orders one engine if it does not serve what it should. What
// it serves is read right before, so that an engine without fences is not given
// an order that another one superseded, and again at the next check, so that an
// old order that slipped through is repaired.
func (a *Agent) applyAssignment(ctx context.Context, plan *ryeford.Plan, assignment *ryeford.Assignment) {
	b, ok := a.backends[assignment.Engine]
	if !ok || b.engine == nil || time.Now().Before(assignment.Start) {
		return
	}
	serving, err := b.engine.Serving(ctx)
	if err != nil || serving.Epoch > plan.Epoch || slices.Equal(serving.Pools, assignment.Pools) {
		return
	}
	loading := b.issued.epoch == plan.Epoch && b.issued.sequence == plan.Sequence && serving.Epoch == plan.Epoch
	if loading && time.Since(b.issued.at) < orderPatience {
		return
	}
	b.issued = issued{epoch: plan.Epoch, sequence: plan.Sequence, at: time.Now()}
	err = b.engine.Order(ctx, ryeford.Order{Epoch: plan.Epoch, Pools: assignment.Pools})
	_ = a.decisions.Note("", "decision", "order", "engine", b.id, "epoch", plan.Epoch, "sequence", plan.Sequence,
		"seen", serving.Epoch, "pools", len(assignment.Pools), "reason", assignment.Reason, "checks_fences", b.checksFences, "err", err)
}
