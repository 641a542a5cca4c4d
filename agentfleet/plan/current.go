// Package plan holds the placement plan that a process knows.
//
// A router's is as old as its last reading of the platform's row, an agent's, its VM's
// part alone, as the last gossip that named a newer one. It never goes back.
package plan

import (
	"sync"

	"github.com/ryeford/ryeford"
)

// A Current holds the newest plan that this process knows. Plans are not changed once
// they are in it. Its methods may be called concurrently.
type Current struct {
	mu     sync.Mutex
	plan   *ryeford.Plan // nil before the first
	notify chan struct{} // closed at the next plan
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

// Set keeps a plan if it supersedes the current one, and reports whether it did.
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

// Changed returns a channel that is closed at the next plan.
func (c *Current) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notify
}

// Version returns the epoch and sequence of the current plan, or zeros.
func (c *Current) Version() (epoch, sequence int64) {
	if plan := c.Get(); plan != nil {
		return plan.Epoch, plan.Sequence
	}
	return 0, 0
}

// OlderThan reports whether the plan of an epoch and sequence supersedes the current
// one. Epoch 0 means no plan, which supersedes none.
func (c *Current) OlderThan(epoch, sequence int64) bool {
	return epoch != 0 && (&ryeford.Plan{Epoch: epoch, Sequence: sequence}).Newer(c.Get())
}

// PartOf returns a VM's part of the current plan. Without a plan it is empty.
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
