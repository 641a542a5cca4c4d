// Package plan holds the current placement plan of a process.
//
// A router reads the plan from the platform's table. An agent receives its VM's part
// after gossip announced a newer plan. An older plan never replaces a newer one.
package plan

import (
	"sync"

	"github.com/ryeford/ryeford"
)

// A Tracker holds the newest plan that this process has received. Stored plans are not
// modified. Its methods may be called concurrently.
type Tracker struct {
	mu     sync.Mutex
	plan   *ryeford.Plan // nil before the first plan
	notify chan struct{} // closed when the plan changes
}

// NewTracker returns a Tracker without a plan.
func NewTracker() *Tracker {
	return &Tracker{notify: make(chan struct{})}
}

// Get returns the current plan, or nil.
func (t *Tracker) Get() *ryeford.Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plan
}

// Set stores a plan if it supersedes the current one, and reports whether it did.
func (t *Tracker) Set(plan *ryeford.Plan) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !plan.Newer(t.plan) {
		return false
	}
	t.plan = plan
	close(t.notify)
	t.notify = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the plan changes.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notify
}

// Version returns the epoch and sequence of the current plan, or zeros without a plan.
func (t *Tracker) Version() (epoch, sequence int64) {
	if plan := t.Get(); plan != nil {
		return plan.Epoch, plan.Sequence
	}
	return 0, 0
}

// OlderThan reports whether the plan with this epoch and sequence supersedes the
// current one. Epoch 0 means no plan, which supersedes nothing.
func (t *Tracker) OlderThan(epoch, sequence int64) bool {
	return epoch != 0 && (&ryeford.Plan{Epoch: epoch, Sequence: sequence}).Newer(t.Get())
}

// PartOf returns a VM's part of the current plan, which is empty without a plan.
func (t *Tracker) PartOf(vm ryeford.VMID) *ryeford.Plan {
	plan := t.Get()
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
