package admit

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// failure is what a refused caller sees of an error.
type failure struct {
	status int
	reason ryeford.Reason // of a NotRunError
}

// failureOf returns the failure that an error stands for.
func failureOf(t *testing.T, err error) failure {
	t.Helper()
	var input *ryeford.InputError
	var notRun *ryeford.NotRunError
	switch {
	case err == nil:
		return failure{}
	case errors.As(err, &input):
		return failure{status: input.Status}
	case errors.As(err, &notRun):
		assert.Assert(t, notRun.RetryAfter > 0)
		return failure{status: http.StatusServiceUnavailable, reason: notRun.Reason}
	}
	t.Fatalf("unexpected error %v", err)
	return failure{}
}

// TestCheck checks which requests are refused, and with what.
func TestCheck(t *testing.T) {
	ready := State{Configured: true, Listed: true, Reliable: true, RouteFound: true, NeedsKey: true, KeyFound: true}
	for _, row := range []struct {
		rule   string
		change func(*State)
		want   failure
	}{
		{"all is known", func(*State) {}, failure{}},
		{"no configuration yet", func(s *State) { *s = State{Listed: true} }, failure{503, "not_ready"}},
		{"no list of endpoints yet", func(s *State) { s.Listed = false }, failure{503, "not_ready"}},
		{"unknown route", func(s *State) { s.RouteFound = false }, failure{404, ""}},
		{"unknown route, but the configuration may be stale", func(s *State) { s.RouteFound, s.Reliable = false, false }, failure{503, "stale_configuration"}},
		{"known route, but the configuration is superseded", func(s *State) { s.Superseded, s.NeedsKey, s.KeyFound = true, false, false }, failure{503, "stale_configuration"}},
		{"unknown route, but the configuration is superseded", func(s *State) { s.Superseded, s.RouteFound = true, false }, failure{503, "stale_configuration"}},
		{"unknown key", func(s *State) { s.KeyFound = false }, failure{401, ""}},
		{"unknown key, but the configuration may be stale", func(s *State) { s.KeyFound, s.Reliable = false, false }, failure{503, "stale_configuration"}},
		{"known key, but it may be revoked", func(s *State) { s.Reliable = false }, failure{503, "stale_configuration"}},
		{"a public route needs no key", func(s *State) { s.NeedsKey, s.KeyFound = false, false }, failure{}},
		{"a public route outlives an outage of the store", func(s *State) { s.NeedsKey, s.Reliable = false, false }, failure{}},
		{"stopping, with too little time left", func(s *State) { s.NoTimeLeft = true }, failure{503, "leaving"}},
		{"stopping comes before the key", func(s *State) { s.NoTimeLeft, s.KeyFound = true, false }, failure{503, "leaving"}},
		{"the route comes before stopping", func(s *State) { s.NoTimeLeft, s.RouteFound = true, false }, failure{404, ""}},
	} {
		t.Run(row.rule, func(t *testing.T) {
			state := ready
			row.change(&state)
			assert.Equal(t, failureOf(t, Check(state)), row.want)
		})
	}
}

// TestCheckSend checks which changes after admission keep a request from being sent.
func TestCheckSend(t *testing.T) {
	ready := Sending{EndpointServes: true, NeedsKey: true, Reliable: true, KeyFound: true}
	for _, row := range []struct {
		rule   string
		change func(*Sending)
		want   ryeford.Reason
	}{
		{"nothing has changed", func(*Sending) {}, ""},
		{"the endpoint is draining or gone", func(s *Sending) { s.EndpointServes = false }, ryeford.ReasonLeaving},
		{"the configuration went stale", func(s *Sending) { s.Reliable = false }, ryeford.ReasonStaleConfiguration},
		{"the key was revoked", func(s *Sending) { s.KeyFound = false }, ryeford.ReasonKeyRevoked},
		{"a public route needs neither", func(s *Sending) { s.NeedsKey, s.Reliable, s.KeyFound = false, false, false }, ""},
		{"the endpoint comes first: another may serve", func(s *Sending) { s.EndpointServes, s.Reliable = false, false }, ryeford.ReasonLeaving},
	} {
		t.Run(row.rule, func(t *testing.T) {
			sending := ready
			row.change(&sending)
			got := CheckSend(sending)
			if row.want == "" {
				assert.Assert(t, got == nil)
				return
			}
			assert.Equal(t, failureOf(t, got), failure{status: http.StatusServiceUnavailable, reason: row.want})
		})
	}
}

// TestBody checks the limits of bodies, and how those beyond them are refused.
func TestBody(t *testing.T) {
	assert.Equal(t, MaxBody(65536), int64(65536))
	assert.Equal(t, MaxBody(0), int64(4<<20), "the configuration is not known yet")
	assert.Equal(t, BodyMemory(16), int64(4<<20), "a quarter of the memory")
	assert.Equal(t, BodySize(100, 1000), int64(100))
	assert.Equal(t, BodySize(-1, 1000), int64(1000), "chunked: it may be as large as is allowed")
	assert.Equal(t, BodySize(5000, 1000), int64(1000), "no more than is read before it is refused")
	assert.Equal(t, failureOf(t, NoMemory()), failure{503, "overload"})
	assert.Equal(t, failureOf(t, BodyFailure(&http.MaxBytesError{Limit: 1000})), failure{status: 413})
	assert.Equal(t, failureOf(t, BodyFailure(errors.New("reset"))), failure{status: 400})
}

// TestStartWait checks for how long requests of a router that has just started wait.
func TestStartWait(t *testing.T) {
	const patience = 500 * time.Millisecond
	assert.Equal(t, StartWait(0, patience), patience)
	assert.Equal(t, StartWait(400*time.Millisecond, patience), 100*time.Millisecond)
	assert.Assert(t, StartWait(patience, patience) <= 0, "the patience is over")
	assert.Assert(t, StartWait(time.Hour, patience) <= 0)
}
