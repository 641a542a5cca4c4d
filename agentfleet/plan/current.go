// Package plan holds the current placement plan of a process.
//
// A router reads the plan from the platform's table. An agent receives its VM's part
// after gossip announced a newer plan. An older plan never replaces a newer one.
package plan

import (
	"sync"

	"github.com/ryeford/ryeford"
)

// A Current holds the newest plan that this process has received. Stored plans are not
// modified. Its methods may be called concurrently.
type Current struct {
	mu     sync.Mutex
	plan   *ryeford.Plan // nil before the first plan
	notify chan struct{} // closed when the plan changes
}

// NewCurrent returns a Current without a plan.
func NewCurrent() *Current {
	return &Current{notify: make(chan struct{})}
}

// Get returns the current plan, or nil.
func (c *Current) Get() *ryeford.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan
}

// Set stores a plan if it supersedes the current one, and reports whether it did.
func (c *Current) Set(plan *ryeford.Plan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !plan.Newer(c.plan) {
		return false
	}
	c.plan = plan
	close(c.notify)
	c.notify = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the plan changes.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notify
}

// Version returns the epoch and sequence of the current plan, or zeros without a plan.
func (c *Current) Version() (epoch, sequence int64) {
	if plan := c.Get(); plan != nil {
		return plan.Epoch, plan.Sequence
	}
	return 0, 0
}

// OlderThan reports whether the plan with this epoch and sequence supersedes the
// current one. Epoch 0 means no plan, which supersedes nothing.
func (c *Current) OlderThan(epoch, sequence int64) bool {
	return epoch != 0 && (&ryeford.Plan{Epoch: epoch, Sequence: sequence}).Newer(c.Get())
}

// PartOf returns a VM's part of the current plan, which is empty without a plan.
func (c *Current) PartOf(vm ryeford.VMID) *ryeford.Plan {
	plan := c.Get()
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
