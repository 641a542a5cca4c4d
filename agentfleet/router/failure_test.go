package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
)

// TestUnknownIsNeverNotRun checks that a request that may have run in an earlier
// dispatch is never reported as not run, whatever the last refusal was.
func TestUnknownIsNeverNotRun(t *testing.T) {
	refused := &ryeford.NotRunError{Reason: ryeford.ReasonOverload, RetryAfter: time.Second}
	x := &exchange{request: &request{repeatable: true}, history: history{mayHaveRun: true}}
	final := finalError(refused, x.history.mayHaveRun, time.Second)
	body, status := newErrorBody("r", final)
	assert.Equal(t, body.Error.Ran, "unknown")
	assert.Equal(t, status, 502)
	assert.Equal(t, reasonOf(final), ryeford.ReasonOverload)

	// An unknown outcome that a refusal caused also stays unknown.
	body, _ = newErrorBody("r", &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, Err: refused})
	assert.Equal(t, body.Error.Ran, "unknown")

	x.history.mayHaveRun = false
	body, _ = newErrorBody("r", finalError(refused, x.history.mayHaveRun, time.Second))
	assert.Equal(t, body.Error.Ran, "not_run")
}

// TestErrorBody checks the error response to callers for each failure.
func TestErrorBody(t *testing.T) {
	for _, test := range []struct {
		name         string
		err          error
		status       int
		code         string
		ran          string
		retryAfterMS int64
	}{
		{"wrong input", &ryeford.InputError{Field: "body"}, 400, "invalid_request", "not_run", 0},
		{"wrong key", &ryeford.InputError{Field: "Authorization", Status: 401}, 401, "invalid_request", "not_run", 0},
		{"refused for load", &ryeford.NotRunError{Reason: ryeford.ReasonOverload, RetryAfter: time.Second}, 503, "overload", "not_run", 1000},
		{"above the share", &ryeford.NotRunError{Reason: ryeford.ReasonShare}, 429, "share", "not_run", 0},
		{"budget spent", &ryeford.NotRunError{Reason: ryeford.ReasonRetryBudget}, 429, "retry_budget", "not_run", 0},
		{"may have run", &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, RetryAfter: time.Second}, 502, "unreachable", "unknown", 1000},
		{"first run may be in progress", &ryeford.MayHaveRunError{Reason: ryeford.ReasonRunning}, 409, "running", "unknown", 0},
		{"internal failure", &ProtocolError{}, 502, "internal", "unknown", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			body, status := newErrorBody("r", test.err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, body.Error.Code, test.code)
			assert.Equal(t, body.Error.Ran, test.ran)
			assert.Equal(t, body.Error.RetryAfterMS, test.retryAfterMS)
		})
	}
}

// TestOperatorErrorBody checks the error response to operators for each failure.
func TestOperatorErrorBody(t *testing.T) {
	for _, test := range []struct {
		name   string
		err    error
		status int
		code   string
		ran    string
	}{
		{"wrong input", &ryeford.InputError{Field: "body"}, 400, "invalid_request", "not_run"},
		{"based on an old version", &template.SequenceError{Base: 1, Current: 2}, 409, "conflict", "not_run"},
		{"lost to another publish", &ryeford.ConflictError{Keys: []string{"k"}}, 409, "conflict", "not_run"},
		{"no such template", &ryeford.NotFoundError{Kind: "template"}, 404, "not_found", "not_run"},
		{"table unreachable", &ryeford.UnavailableError{Service: "table", Err: &ProtocolError{}}, 503, "store_unavailable", "not_run"},
		{"table's response lost", &ryeford.UnavailableError{Service: "table", MayHaveApplied: true, Err: &ProtocolError{}}, 503, "store_unavailable", "unknown"},
		{"internal failure", &ProtocolError{}, 500, "internal", "unknown"},
	} {
		t.Run(test.name, func(t *testing.T) {
			body, status := newOperatorErrorBody(test.err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, body.Error.Code, test.code)
			assert.Equal(t, body.Error.Ran, test.ran)
		})
	}
}
