package router

import (
	"sync"

	"github.com/ryeford/ryeford"
)

// A currentPlan holds the newest plan that this router knows. Plans are not changed
// once they are in it.
type currentPlan struct {
	mu     sync.Mutex
	plan   *ryeford.Plan
	notify chan struct{} // closed at the next plan
}

// newCurrentPlan returns a currentPlan without a plan.
func newCurrentPlan() currentPlan {
	return currentPlan{notify: make(chan struct{})}
}

// get returns the current plan, or nil.
func (c *currentPlan) get() *ryeford.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan
}

// set keeps a plan if it supersedes the current one.
func (c *currentPlan) set(plan *ryeford.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !plan.Newer(c.plan) {
		return
	}
	c.plan = plan
	close(c.notify)
	c.notify = make(chan struct{})
}

// changed returns a channel that is closed at the next plan.
func (c *currentPlan) changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notify
}

// version returns the epoch and sequence of the current plan, or zeros.
func (c *currentPlan) version() (epoch, sequence int64) {
	if plan := c.get(); plan != nil {
		return plan.Epoch, plan.Sequence
	}
	return 0, 0
}

// partOf returns a VM's part of the current plan. Without a plan it is empty.
func (c *currentPlan) partOf(vm ryeford.VMID) *ryeford.Plan {
	plan := c.get()
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
