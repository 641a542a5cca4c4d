package gateway

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/retry"
)

// TestClassifySendError checks how an attempt ends for each kind of send error.
func TestClassifySendError(t *testing.T) {
	for _, row := range []struct {
		name string
		err  error
		want retry.End
	}{
		{"the endpoint accepts no connection", &endpoint.UnsentError{Err: errors.New("refused")}, retry.EndUnsent},
		{"the endpoint began to drain", &endpoint.UnsentError{Err: giveup.NotRun(ryeford.ReasonLeaving)}, retry.EndUnsent},
		{"the configuration went stale", &endpoint.UnsentError{Err: giveup.NotRun(ryeford.ReasonStaleConfiguration)}, retry.EndForbidden},
		{"the key was revoked", &endpoint.UnsentError{Err: giveup.NotRun(ryeford.ReasonKeyRevoked)}, retry.EndForbidden},
		{"the connection broke", &endpoint.LostError{Err: errors.New("reset")}, retry.EndLost},
		{"the response belongs to another request", &endpoint.LostError{Err: &endpoint.UnusableResponseError{}}, retry.EndLost},
	} {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, classifySendError(row.err), row.want)
		})
	}
}
