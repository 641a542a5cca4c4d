package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestStatusOf checks that a caller is told that its request has not run only
// where that is known: not where the last try did not run, but an earlier one
// may have.
func TestStatusOf(t *testing.T) {
	notRun := &ryeford.NotRunError{Reason: ryeford.ReasonOverload, RetryAfter: time.Second}
	for name, test := range map[string]struct {
		err    error
		status int
		reason string
	}{
		"not run":                  {notRun, http.StatusServiceUnavailable, "overload"},
		"an earlier try may have":  {&ryeford.UnknownError{Reason: ryeford.ReasonOverload, Err: notRun}, http.StatusBadGateway, "overload"},
		"an earlier one, too late": {&ryeford.UnknownError{Reason: ryeford.ReasonDeadline, Err: notRun}, http.StatusGatewayTimeout, "deadline"},
		"no such route":            {&ryeford.InputError{Field: "path", Status: http.StatusNotFound}, http.StatusNotFound, "input"},
	} {
		t.Run(name, func(t *testing.T) {
			status, retryAfter := statusOf(test.err)
			assert.Equal(t, status, test.status)
			assert.Equal(t, retryAfter > 0, status == http.StatusServiceUnavailable)
			assert.Equal(t, reasonOf(test.err), test.reason)
		})
	}
}
