package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestRunWithoutReader checks which runs are cancelled after their last reader has left,
// and when.
func TestRunWithoutReader(t *testing.T) {
	const grace = 15 * time.Second
	for _, test := range []struct {
		rule       string
		repeatable bool
		readers    int           // before one of them leaves
		elapsed    time.Duration // since then
		cancelled  bool
	}{
		{"a repeatable run is cancelled after the grace period", true, 1, grace + 1, true},
		{"a repeatable run is not cancelled during the grace period", true, 1, grace - 1, false},
		{"a run with another reader is not cancelled", true, 2, 0, false},
		{"a run that is not repeatable is not cancelled", false, 1, time.Hour, false},
	} {
		t.Run(test.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRun(&wire.Dispatch{Repeatable: test.repeatable}, nil, false)
				defer r.cancel()
				for range test.readers {
					r.attach()
				}
				r.detach(grace)
				time.Sleep(test.elapsed)
				synctest.Wait()
				assert.Equal(t, r.ctx.Err() != nil, test.cancelled)

				// A new reader ends the grace period.
				r.attach()
				time.Sleep(2 * grace)
				synctest.Wait()
				assert.Equal(t, r.ctx.Err() != nil, test.cancelled)
			})
		})
	}
}

// TestCancelByCaller checks that a caller can cancel only a repeatable run.
func TestCancelByCaller(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		r := newRun(&wire.Dispatch{Repeatable: repeatable}, nil, false)
		r.cancelIfRepeatable()
		assert.Equal(t, r.ctx.Err() != nil, repeatable)
		r.cancel()
	}
}
