package router

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/lease"
	"github.com/ryeford/ryeford/agentfleet/placement"
	"github.com/ryeford/ryeford/agentfleet/row"
	"github.com/ryeford/ryeford/internal/clock"
)

const leaseName = "planner"

// A planner keeps the current plan up to date. On the router that holds the lease, it
// also makes the plans.
type planner struct {
	*sharedState
	lease   *lease.Lease
	engines recentEngines // used by run only
}

// run makes plans, or reads those of another router, until ctx ends.
func (p *planner) run(ctx context.Context) error {
	if !p.settings.Planner.Enabled {
		return nil
	}
	for {
		if !clock.Sleep(ctx, jitter(p.settings.Planner.Interval)) {
			return nil
		}
		if err := p.planOnce(ctx); err != nil && ctx.Err() == nil {
			_ = p.log.Log("msg", "planning round failed; keeping the current plan until the next round", "err", err)
		}
	}
}

// planOnce acquires or renews the lease if possible, reads the current plan, and makes
// a new one if it holds the lease. A router that is leaving or has not read the
// templates yet makes no plan.
func (p *planner) planOnce(ctx context.Context) error {
	grant, err := p.acquire(ctx)
	if err != nil {
		return err
	}
	var pointer planPointer
	version, err := row.Get(ctx, p.platform, rowPlan, &pointer)
	if err != nil {
		return err
	}
	if err := p.fetchPlan(ctx, pointer); err != nil {
		return err
	}
	if grant == nil || !p.readiness.synced.Load() || p.readiness.leaving.Load() {
		return nil
	}
	return p.publish(ctx, grant, pointer, version)
}

// acquire returns the lease, or nil if another router holds it or this one is leaving.
func (p *planner) acquire(ctx context.Context) (*lease.Grant, error) {
	if p.readiness.leaving.Load() {
		return nil, nil
	}
	grant, err := p.lease.Acquire(ctx)
	if _, ok := errors.AsType[*lease.HeldError](err); ok {
		return nil, nil
	}
	return grant, err
}

func (p *planner) input() *placement.Input {
	s := &p.settings.Planner
	now := time.Now()
	_, templates := p.templateCache.ChangedSince(0)
	connected, leaving := placeableEngines(p.fleet.list(), p.plan.Get())
	return &placement.Input{
		Now:           now,
		Templates:     templates,
		Engines:       p.engines.update(now, connected, leaving, s.LostAgentTimeout),
		LoadTime:      s.LoadTime,
		ParallelLoads: s.ParallelLoads,
		WarmUpLead:    s.WarmUpLead,
	}
}

// Each plan is stored as an object. One row names the current plan.
const (
	rowPlan        = "plan/current"
	planObjectName = "plan-%d-%d" // epoch, sequence
)

// A planPointer is the row that names the current plan.
type planPointer struct {
	Epoch    int64  `json:"epoch"`
	Sequence int64  `json:"sequence"`
	Object   string `json:"object"`
}

// fetchPlan reads the plan that a row names, if it is newer than the current one here.
func (p *planner) fetchPlan(ctx context.Context, pointer planPointer) error {
	if !p.plan.OlderThan(pointer.Epoch, pointer.Sequence) {
		return nil
	}
	content, err := p.platform.GetObject(ctx, pointer.Object)
	if err != nil {
		return err
	}
	plan := &ryeford.Plan{}
	if err := json.Unmarshal(content, plan); err != nil {
		return &Error{Op: "decode plan object " + pointer.Object, Err: err}
	}
	p.plan.Set(plan)
	return nil
}

// publish makes a plan, and stores it as the current one if it differs from it.
func (p *planner) publish(ctx context.Context, grant *lease.Grant, pointer planPointer, version int64) error {
	out := placement.Plan(p.input())
	if !shouldPublish(p.plan.Get(), out.Assignments) {
		return nil
	}
	plan := &ryeford.Plan{Epoch: grant.Epoch, Sequence: pointer.Sequence + 1, Assignments: out.Assignments}
	content, err := json.Marshal(plan)
	if err != nil {
		return &Error{Op: "encode plan", Err: err}
	}
	object := fmt.Sprintf(planObjectName, plan.Epoch, plan.Sequence)
	if err := p.platform.PutObject(ctx, object, content); err != nil {
		return err
	}
	err = p.makeCurrent(ctx, grant, planPointer{Epoch: plan.Epoch, Sequence: plan.Sequence, Object: object}, version)
	p.decisions.Record("", "decision", "place", "epoch", plan.Epoch, "sequence", plan.Sequence,
		"assignments", len(plan.Assignments), "moves", out.Moves, "late", out.Late, "accepted", err == nil, "err", err)
	if err != nil {
		return err
	}
	p.plan.Set(plan)
	return nil
}

// makeCurrent points the row to a plan and renews the lease, in one transaction. It
// fails if another router took over the lease or the row has changed since they were
// read, so that a holder that was suspended and resumed can't overwrite a newer plan.
func (p *planner) makeCurrent(ctx context.Context, grant *lease.Grant, pointer planPointer, version int64) error {
	current, err := row.NewWrite(rowPlan, &pointer, version)
	if err != nil {
		return err
	}
	renewal, err := grant.Renewal()
	if err != nil {
		return err
	}
	_, err = p.platform.Transact(ctx, renewal, current)
	return err
}

// shouldPublish reports whether the assignments differ from those of the current plan
// in the pools of any engine. Different start times alone don't justify a new plan.
// Empty assignments are never published: they mean that no template or no engine is
// known.
func shouldPublish(current *ryeford.Plan, next []ryeford.Assignment) bool {
	if len(next) == 0 || current == nil {
		return len(next) > 0
	}
	return !slices.EqualFunc(current.Assignments, next, func(a, b ryeford.Assignment) bool {
		return a.Engine == b.Engine && slices.Equal(a.Pools, b.Pools)
	})
}

// Which engines a plan covers.
//
// An engine counts while its agent is connected and for planner.patience after the
// connection was lost, so that a flapping VM or a restarted router causes no moves. An
// engine on a leaving VM doesn't count. Pools that the current plan assigns to an
// engine count as served, so that loads in progress are kept.

// recentEngines are the engines whose agents are connected or were recently.
type recentEngines map[ryeford.EngineID]recentEngine

// A recentEngine is an engine as of the last contact with its agent.
type recentEngine struct {
	engine        placement.Engine
	lastConnected time.Time
}

// update adds the connected engines and removes those that no longer count. It returns
// the remaining ones, ordered by ID.
func (r recentEngines) update(now time.Time, connected []placement.Engine, leaving map[ryeford.VMID]bool, lostTimeout time.Duration) []placement.Engine {
	for _, e := range connected {
		r[e.ID] = recentEngine{engine: e, lastConnected: now}
	}
	var engines []placement.Engine
	for id, e := range r {
		if leaving[e.engine.VM] || now.Sub(e.lastConnected) > lostTimeout {
			delete(r, id)
			continue
		}
		engines = append(engines, e.engine)
	}
	slices.SortFunc(engines, func(a, b placement.Engine) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

// placeableEngines returns the model engines of connected agents, with the pools that
// they serve or that the plan assigns to them, and the VMs that are leaving. Instances
// of plain services are not placed.
func placeableEngines(agents []*agent, plan *ryeford.Plan) (engines []placement.Engine, leaving map[ryeford.VMID]bool) {
	planned := make(map[ryeford.EngineID][]ryeford.Pool)
	if plan != nil {
		for _, a := range plan.Assignments {
			planned[a.Engine] = a.Pools
		}
	}
	leaving = make(map[ryeford.VMID]bool)
	for _, a := range agents {
		if a.leaving() {
			leaving[a.vm.ID] = true
			continue
		}
		for _, e := range a.inventory.Engines {
			if e.Service != "" {
				continue
			}
			pools, ok := planned[e.ID]
			if !ok {
				pools = e.Pools
			}
			engines = append(engines, placement.Engine{ID: e.ID, VM: a.vm.ID, Domain: a.inventory.FailureDomain, Pools: pools})
		}
	}
	return engines, leaving
}
