package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestDrain checks how long an agent with a running attempt drains.
func TestDrain(t *testing.T) {
	const limit = time.Minute
	for _, test := range []struct {
		rule    string
		runTime time.Duration // zero: nothing runs
		elapsed time.Duration
	}{
		{"an idle agent ends after the grace period", 0, drainGrace},
		{"the end of a run is noticed at the next check", 3*time.Second - drainCheckInterval/2, 3*time.Second + drainGrace},
		{"a run that does not end is awaited up to the limit", time.Hour, limit + drainGrace},
	} {
		t.Run(test.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := testAgent(newBackend("endpoint-1.1", admission.Limits{}, 1))
				a.settings.Limits.Drain = limit
				a.leave, a.changed = make(chan struct{}), make(chan struct{})
				if test.runTime > 0 {
					r := newRun(&wire.Dispatch{Attempt: "a1"}, nil, false)
					defer r.cancel()
					a.attempts.records["a1"] = attemptRecord{state: attemptRetained, run: r}
					time.AfterFunc(test.runTime, func() { r.log.Append(ryeford.Chunk{Finish: ryeford.FinishStop}) })
				}
				start := time.Now()
				a.startLeaving("signal")
				assert.NilError(t, a.drain(t.Context()))
				assert.Equal(t, time.Since(start), test.elapsed)
			})
		})
	}
}
