package router

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/lease"
	"github.com/ryeford/ryeford/agentfleet/placement"
)

// Where plans are stored: each as an object, and in one row which is current.
const (
	rowPlan        = "plan/current"
	planObjectName = "plan-%d-%d" // epoch, sequence
)

// A planPointer is the row that says which plan is current.
type planPointer struct {
	Epoch    int64  `json:"epoch"`
	Sequence int64  `json:"sequence"`
	Object   string `json:"object"`
}

// readPointer returns the row that names the current plan, and its version.
func (p *planner) readPointer(ctx context.Context) (planPointer, int64, error) {
	var pointer planPointer
	rows, err := p.table.Get(ctx, rowPlan)
	if err != nil || rows[0].Version == 0 {
		return pointer, 0, err
	}
	if err := json.Unmarshal(rows[0].Value, &pointer); err != nil {
		return pointer, 0, &PlanError{Op: "read the current plan's row", Err: err}
	}
	return pointer, rows[0].Version, nil
}

// follow reads the plan that a row names, if it is newer than the one known here.
func (p *planner) follow(ctx context.Context, pointer planPointer) error {
	if !p.plan.OlderThan(pointer.Epoch, pointer.Sequence) {
		return nil
	}
	content, err := p.objects.GetObject(ctx, pointer.Object)
	if err != nil {
		return err
	}
	plan := &ryeford.Plan{}
	if err := json.Unmarshal(content, plan); err != nil {
		return &PlanError{Op: "read plan " + pointer.Object, Err: err}
	}
	p.plan.Set(plan)
	return nil
}

// publish makes a plan, and makes it current if it says something new.
func (p *planner) publish(ctx context.Context, held *lease.Held, pointer planPointer, version int64) error {
	out := placement.Plan(p.input())
	if !worthPublishing(p.plan.Get(), out.Assignments) {
		return nil
	}
	plan := &ryeford.Plan{Epoch: held.Epoch, Sequence: pointer.Sequence + 1, Assignments: out.Assignments}
	object, err := p.putObject(ctx, plan)
	if err != nil {
		return err
	}
	err = p.makeCurrent(ctx, held, planPointer{Epoch: plan.Epoch, Sequence: plan.Sequence, Object: object}, version)
	p.decisions.Record("", "decision", "place", "epoch", plan.Epoch, "sequence", plan.Sequence,
		"assignments", len(plan.Assignments), "moves", out.Moves, "late", out.Late, "accepted", err == nil, "err", err)
	if err != nil {
		return err
	}
	p.plan.Set(plan)
	return nil
}

// putObject stores a plan and returns the object's name.
func (p *planner) putObject(ctx context.Context, plan *ryeford.Plan) (string, error) {
	content, err := json.Marshal(plan)
	if err != nil {
		return "", &PlanError{Op: "write plan", Err: err}
	}
	object := fmt.Sprintf(planObjectName, plan.Epoch, plan.Sequence)
	return object, p.objects.PutObject(ctx, object, content)
}

// makeCurrent points the row to a plan and renews the lease, in one transaction. It
// fails if the lease was taken over or the row changed since they were read, so that a
// holder that was paused changes nothing.
func (p *planner) makeCurrent(ctx context.Context, held *lease.Held, pointer planPointer, version int64) error {
	value, err := json.Marshal(&pointer)
	if err != nil {
		return &PlanError{Op: "write plan", Err: err}
	}
	renewal, err := held.Renewal()
	if err != nil {
		return err
	}
	_, err = p.table.Transact(ctx, renewal, ryeford.Write{Key: rowPlan, Value: value, IfVersion: version})
	return err
}

// worthPublishing reports whether assignments differ from the current plan's in what an
// engine serves. Other start times alone make no new plan, and a plan without any
// assignment is no plan: no template or no engine is known.
func worthPublishing(current *ryeford.Plan, next []ryeford.Assignment) bool {
	if len(next) == 0 || current == nil {
		return len(next) > 0
	}
	return !slices.EqualFunc(current.Assignments, next, func(a, b ryeford.Assignment) bool {
		return a.Engine == b.Engine && slices.Equal(a.Pools, b.Pools)
	})
}
