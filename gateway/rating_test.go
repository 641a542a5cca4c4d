package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/retry"
)

// TestRateAttempt checks which ends of attempts count against their endpoints.
func TestRateAttempt(t *testing.T) {
	for _, row := range []struct {
		name string
		end  attemptEnd
		want rating
	}{
		{"answered", attemptEnd{end: retry.EndAnswered, status: 200}, ratingGood},
		{"answered with a client error", attemptEnd{end: retry.EndAnswered, status: 404}, ratingGood},
		{"answered, but the deadline has passed since", attemptEnd{end: retry.EndAnswered, status: 200, ctxDone: true}, ratingGood},
		{"answered with a server error", attemptEnd{end: retry.EndAnswered, status: 500}, ratingFailure},
		{"its server error was withheld", attemptEnd{end: retry.EndFailed, status: 500}, ratingFailure},
		{"the connection broke", attemptEnd{end: retry.EndLost}, ratingFailure},
		{"the connection was closed, because the caller disconnected", attemptEnd{end: retry.EndLost, ctxDone: true}, ratingNone},
		{"no connection", attemptEnd{end: retry.EndUnsent}, ratingUnreachable},
		{"no connection until the deadline", attemptEnd{end: retry.EndUnsent, ctxDone: true}, ratingNone},
		{"it began to drain before the request was sent", attemptEnd{end: retry.EndUnsent, blocked: true}, ratingNone},
		{"the key was revoked before the request was sent", attemptEnd{end: retry.EndForbidden, blocked: true}, ratingNone},
		{"it sheds load", attemptEnd{end: retry.EndRefused, status: 503}, ratingFailure},
		{"it is full, and sheds load", attemptEnd{end: retry.EndRefused, status: 503, full: true}, ratingNone},
		{"it sheds load with a Retry-After", attemptEnd{end: retry.EndRefused, status: 503, backoff: true}, ratingNone},
		{"it is full, and another endpoint has its address", attemptEnd{end: retry.EndRefused, status: 421, full: true}, ratingMisdirected},
		{"it sheds load, and the caller disconnected", attemptEnd{end: retry.EndRefused, status: 503, ctxDone: true}, ratingFailure},
		{"another endpoint has its address", attemptEnd{end: retry.EndRefused, status: 421}, ratingMisdirected},
	} {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, rateAttempt(row.end), row.want)
		})
	}
}
