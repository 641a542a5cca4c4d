package plan

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestSupersede checks which plans replace the current one, and that only these notify
// waiting goroutines.
func TestSupersede(t *testing.T) {
	for _, test := range []struct {
		name            string
		current         *ryeford.Plan
		epoch, sequence int64
		want            bool
	}{
		{"the first plan", nil, 1, 1, true},
		{"a later sequence", &ryeford.Plan{Epoch: 2, Sequence: 3}, 2, 4, true},
		{"the same version", &ryeford.Plan{Epoch: 2, Sequence: 3}, 2, 3, false},
		{"an earlier sequence", &ryeford.Plan{Epoch: 2, Sequence: 3}, 2, 2, false},
		{"a later epoch", &ryeford.Plan{Epoch: 2, Sequence: 3}, 3, 4, true},
		{"an earlier epoch", &ryeford.Plan{Epoch: 2, Sequence: 3}, 1, 9, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewTracker()
			if test.current != nil {
				assert.Assert(t, tracker.Set(test.current))
			}
			assert.Assert(t, !tracker.OlderThan(0, 0), "epoch 0 superseded the current plan")
			assert.Equal(t, tracker.OlderThan(test.epoch, test.sequence), test.want)
			changed := tracker.Changed()
			assert.Equal(t, tracker.Set(&ryeford.Plan{Epoch: test.epoch, Sequence: test.sequence}), test.want)
			select {
			case <-changed:
				assert.Assert(t, test.want, "an older plan notified")
			default:
				assert.Assert(t, !test.want, "a newer plan did not notify")
			}
		})
	}
}

// TestPartOf checks that a VM's part has the plan's version and only its own
// assignments.
func TestPartOf(t *testing.T) {
	tracker := NewTracker()
	assert.DeepEqual(t, tracker.PartOf("endpoint-1"), &ryeford.Plan{})
	tracker.Set(&ryeford.Plan{Epoch: 2, Sequence: 3, Assignments: []ryeford.Assignment{
		{Engine: "endpoint-1.1", VM: "endpoint-1"},
		{Engine: "endpoint-2.1", VM: "endpoint-2"},
	}})
	assert.DeepEqual(t, tracker.PartOf("endpoint-1"), &ryeford.Plan{Epoch: 2, Sequence: 3, Assignments: []ryeford.Assignment{
		{Engine: "endpoint-1.1", VM: "endpoint-1"},
	}})
	assert.DeepEqual(t, tracker.PartOf("endpoint-3"), &ryeford.Plan{Epoch: 2, Sequence: 3})
}
