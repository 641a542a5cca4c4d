package router

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/lease"
	"github.com/ryeford/ryeford/agentfleet/placement"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/settings"
)

const leaseName = "planner"

// A planner keeps the current plan. On the router that holds the lease, it also makes
// it.
type planner struct {
	settings  *settings.Planner
	table     ryeford.Table
	objects   ryeford.ObjectStore
	lease     *lease.Lease
	book      *template.Book
	fleet     *fleet
	readiness *readiness
	recent    recentEngines // used by run only
	plan      *plan.Current
	decisions *decision.Log
	log       log.Logger
}

// run plans, or follows another router's plan, until ctx ends.
func (p *planner) run(ctx context.Context) error {
	if !p.settings.Enabled {
		return nil
	}
	for {
		if !clock.Sleep(ctx, jitter(p.settings.Interval)) {
			return nil
		}
		if err := p.round(ctx); err != nil && ctx.Err() == nil {
			_ = p.log.Log("msg", "no planning", "err", err)
		}
	}
}

// round acquires or renews the lease if it can, reads the current plan, and plans if the
// lease is held. A router that is leaving, or has not read the templates yet, makes no
// plan.
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
	if held == nil || !p.readiness.synced.Load() || p.readiness.leaving.Load() {
		return nil
	}
	return p.publish(ctx, held, pointer, version)
}

// acquire returns the lease, or nil if another router holds it or this one is leaving.
func (p *planner) acquire(ctx context.Context) (*lease.Held, error) {
	if p.readiness.leaving.Load() {
		return nil, nil
	}
	held, err := p.lease.Acquire(ctx)
	var other *lease.HeldError
	if errors.As(err, &other) {
		return nil, nil
	}
	return held, err
}

// input returns what the next plan depends on.
func (p *planner) input() *placement.Input {
	s := p.settings
	now := time.Now()
	_, templates := p.book.Since(0)
	connected, leaving := placeable(p.fleet.all(), p.plan.Get())
	return &placement.Input{
		Now:           now,
		Templates:     templates,
		Engines:       p.recent.update(now, connected, leaving, s.Patience),
		LoadTime:      s.LoadTime,
		ParallelLoads: s.ParallelLoads,
		Ahead:         s.Ahead,
	}
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
