package router

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/lease"
	"github.com/ryeford/ryeford/agentfleet/placement"
)

const (
	rowPlan        = "plan/current"
	leaseName      = "planner"
	planObjectName = "plan-%d-%d"
)

// A planPointer is the row that says which plan is current.
type planPointer struct {
	Epoch    int64  `json:"epoch"`
	Sequence int64  `json:"sequence"`
	Object   string `json:"object"`
}

// A planner keeps the current plan. On the router that holds the lease, it
// also makes it.
type planner struct {
	router *Router
	lease  *lease.Lease

	lastSeen map[ryeford.EngineID]knownEngine // used by run only

	mu     sync.Mutex
	plan   *ryeford.Plan
	notify chan struct{}
}

// A knownEngine is an engine as it was when its agent was connected last.
type knownEngine struct {
	engine placement.Engine
	at     time.Time
}

// newPlanner returns a planner without a plan.
func newPlanner(r *Router) *planner {
	return &planner{
		router:   r,
		lease:    lease.New(r.platform, leaseName, r.settings.VM, uuid.NewString(), r.settings.Planner.Lease),
		lastSeen: make(map[ryeford.EngineID]knownEngine),
		notify:   make(chan struct{}),
	}
}

// run plans, or follows another router's plan, until ctx ends.
func (p *planner) run(ctx context.Context) error {
	if !p.router.settings.Planner.Enabled {
		return nil
	}
	for {
		select {
		case <-time.After(jitter(p.router.settings.Planner.Interval)):
		case <-ctx.Done():
			return nil
		}
		if err := p.round(ctx); err != nil && ctx.Err() == nil {
			_ = p.router.log.Log("msg", "no planning", "err", err)
		}
	}
}

// round makes one try to hold the lease and to plan.
func (p *planner) round(ctx context.Context) error {
	held, err := p.acquire(ctx)
	if err != nil {
		return err
	}
	pointer, version, err := p.readPointer(ctx)
	if err != nil {
		return err
	}
	if err := p.follow(ctx, pointer); err != nil {
		return err
	}
	if held == nil || !p.router.synced.Load() || p.router.leaving.Load() {
		return nil
	}
	return p.publish(ctx, held, pointer, version)
}

// acquire returns the lease, or nil where another router holds it.
func (p *planner) acquire(ctx context.Context) (*lease.Held, error) {
	if p.router.leaving.Load() {
		return nil, nil
	}
	held, err := p.lease.Acquire(ctx)
	var other *lease.HeldError
	if errors.As(err, &other) {
		return nil, nil
	}
	return held, err
}

// readPointer returns the row that names the current plan.
func (p *planner) readPointer(ctx context.Context) (planPointer, int64, error) {
	var pointer planPointer
	rows, err := p.router.platform.Get(ctx, rowPlan)
	if err != nil || rows[0].Version == 0 {
		return pointer, 0, err
	}
	if err := json.Unmarshal(rows[0].Value, &pointer); err != nil {
		return pointer, 0, &PlanError{Op: "read the current plan's row", Err: err}
	}
	return pointer, rows[0].Version, nil
}

// follow reads the plan that a row names, if it is new.
func (p *planner) follow(ctx context.Context, pointer planPointer) error {
	if pointer.Object == "" || !(&ryeford.Plan{Epoch: pointer.Epoch, Sequence: pointer.Sequence}).Newer(p.current()) {
		return nil
	}
	content, err := p.router.platform.GetObject(ctx, pointer.Object)
	if err != nil {
		return err
	}
	plan := &ryeford.Plan{}
	if err := json.Unmarshal(content, plan); err != nil {
		return &PlanError{Op: "read plan " + pointer.Object, Err: err}
	}
	p.set(plan)
	return nil
}

// publish makes a plan, and makes it current if it says something new. The
// write fails where the lease was taken over since it was read, so that a
// holder that was paused changes nothing.
func (p *planner) publish(ctx context.Context, held *lease.Held, pointer planPointer, version int64) error {
	out := placement.Plan(p.input())
	current := p.current()
	if len(out.Assignments) == 0 || (current != nil && sameAssignments(current.Assignments, out.Assignments)) {
		return nil
	}
	plan := &ryeford.Plan{Epoch: held.Epoch, Sequence: pointer.Sequence + 1, Assignments: out.Assignments}
	pointer = planPointer{Epoch: plan.Epoch, Sequence: plan.Sequence, Object: fmt.Sprintf(planObjectName, plan.Epoch, plan.Sequence)}
	content, err := json.Marshal(plan)
	if err != nil {
		return &PlanError{Op: "write plan", Err: err}
	}
	if err := p.router.platform.PutObject(ctx, pointer.Object, content); err != nil {
		return err
	}
	value, err := json.Marshal(&pointer)
	if err != nil {
		return &PlanError{Op: "write plan", Err: err}
	}
	renewal, err := held.Renewal()
	if err != nil {
		return err
	}
	_, err = p.router.platform.Transact(ctx, renewal, ryeford.Write{Key: rowPlan, Value: value, IfVersion: version})
	_ = p.router.decisions.Note("", "decision", "place", "epoch", plan.Epoch, "sequence", plan.Sequence,
		"assignments", len(plan.Assignments), "moves", out.Moves, "late", out.Late, "accepted", err == nil, "err", err)
	if err != nil {
		return err
	}
	p.set(plan)
	return nil
}

// input returns what the next plan depends on.
func (p *planner) input() *placement.Input {
	s := &p.router.settings.Planner
	_, templates := p.router.book.Since(0)
	return &placement.Input{
		Now:           time.Now(),
		Templates:     templates,
		Engines:       p.engines(time.Now()),
		LoadTime:      s.LoadTime,
		ParallelLoads: s.ParallelLoads,
		Ahead:         s.Ahead,
	}
}

// engines returns the engines to place on: those of connected agents, and those
// of agents that were lost a short while ago.
func (p *planner) engines(now time.Time) []placement.Engine {
	connected, leaving := p.router.fleet.placeable(p.current())
	for _, e := range connected {
		p.lastSeen[e.ID] = knownEngine{engine: e, at: now}
	}
	var engines []placement.Engine
	for id, s := range p.lastSeen {
		if leaving[s.engine.VM] || now.Sub(s.at) > p.router.settings.Planner.Patience {
			delete(p.lastSeen, id)
			continue
		}
		engines = append(engines, s.engine)
	}
	slices.SortFunc(engines, func(a, b placement.Engine) int { return cmp.Compare(a.ID, b.ID) })
	return engines
}

// current returns the current plan, or nil.
func (p *planner) current() *ryeford.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan
}

// set keeps a plan if it supersedes the current one.
func (p *planner) set(plan *ryeford.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !plan.Newer(p.plan) {
		return
	}
	p.plan = plan
	close(p.notify)
	p.notify = make(chan struct{})
}

// changed returns a channel that is closed at the next plan.
func (p *planner) changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notify
}

// known returns the epoch and sequence of the current plan.
func (p *planner) known() (epoch, sequence int64) {
	if plan := p.current(); plan != nil {
		return plan.Epoch, plan.Sequence
	}
	return 0, 0
}

// part returns a VM's part of the current plan.
func (p *planner) part(vm ryeford.VMID) *ryeford.Plan {
	plan := p.current()
	if plan == nil {
		return &ryeford.Plan{}
	}
	part := &ryeford.Plan{Epoch: plan.Epoch, Sequence: plan.Sequence}
	for _, a := range plan.Assignments {
		if a.VM == vm {
			part.Assignments = append(part.Assignments, a)
		}
	}
	return part
}

// sameAssignments reports whether two plans put the same on each engine. Start
// times alone make no new plan.
func sameAssignments(a, b []ryeford.Assignment) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Engine != b[i].Engine || !samePools(a[i].Pools, b[i].Pools) {
			return false
		}
	}
	return true
}

func samePools(a, b []ryeford.Pool) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// A PlanError says that a plan can't be read or written.
type PlanError struct {
	Op  string
	Err error
}

// Error returns the text of e.
func (e *PlanError) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *PlanError) Unwrap() error { return e.Err }
