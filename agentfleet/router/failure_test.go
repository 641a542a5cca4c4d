package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestUnknownIsNeverNotRun checks that a request of which an earlier try may
// have run is never said not to have run, whatever refused the last try.
func TestUnknownIsNeverNotRun(t *testing.T) {
	refused := &ryeford.NotRunError{Reason: ryeford.ReasonOverload, RetryAfter: time.Second}
	x := &exchange{request: &request{repeatable: true}, mayHaveRun: true}
	verdict := x.finalError(refused)
	body, status := newErrorBody("r", verdict)
	assert.Equal(t, body.Error.Ran, "unknown")
	assert.Equal(t, status, 502)
	assert.Equal(t, reasonOf(verdict), ryeford.ReasonOverload)

	// Not even where an unknown outcome was caused by a refusal.
	body, _ = newErrorBody("r", &ryeford.UnknownError{Reason: ryeford.ReasonUnreachable, Err: refused})
	assert.Equal(t, body.Error.Ran, "unknown")

	x.mayHaveRun = false
	body, _ = newErrorBody("r", x.finalError(refused))
	assert.Equal(t, body.Error.Ran, "not_run")
}
