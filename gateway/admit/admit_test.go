package admit

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/giveup"
)

// A failure is what the caller of a refused request receives.
type failure struct {
	status int
	reason ryeford.Reason // of a NotRunError
}

// failureOf returns the failure that the caller receives for an error, and checks that only a 503 has a
// retry time.
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
		status := giveup.Decide(giveup.Request{Err: err}).Status
		assert.Equal(t, notRun.RetryAfter > 0, status == http.StatusServiceUnavailable)
		return failure{status: status, reason: notRun.Reason}
	}
	t.Fatalf("unexpected error %v", err)
	return failure{}
}

// TestCheck checks which requests are refused, and with what error.
func TestCheck(t *testing.T) {
	ready := State{Configured: true, EndpointsLoaded: true, Reliable: true, ServesKeys: true, RouteFound: true, NeedsKey: true, KeyFound: true}
	for _, row := range []struct {
		rule   string
		change func(*State)
		want   failure
	}{
		{"everything is known", func(*State) {}, failure{}},
		{"no configuration yet", func(s *State) { *s = State{EndpointsLoaded: true} }, failure{503, "not_ready"}},
		{"no list of endpoints yet", func(s *State) { s.EndpointsLoaded = false }, failure{503, "not_ready"}},
		{"unknown route", func(s *State) { s.RouteFound = false }, failure{404, ""}},
		{"unknown route, but the configuration may be stale", func(s *State) { s.RouteFound, s.Reliable, s.ServesKeys = false, false, false }, failure{503, "stale_configuration"}},
		{"known route, but the configuration is superseded", func(s *State) { s.Superseded, s.NeedsKey, s.KeyFound = true, false, false }, failure{503, "stale_configuration"}},
		{"unknown route, but the configuration is superseded", func(s *State) { s.Superseded, s.RouteFound = true, false }, failure{503, "stale_configuration"}},
		{"unknown key", func(s *State) { s.KeyFound = false }, failure{401, ""}},
		{"unknown key, but the configuration may be stale", func(s *State) { s.KeyFound, s.Reliable, s.ServesKeys = false, false, false }, failure{503, "stale_configuration"}},
		{"known key, but it may be revoked", func(s *State) { s.Reliable, s.ServesKeys = false, false }, failure{503, "stale_configuration"}},
		{"known key, in a store outage during which keys are served", func(s *State) { s.Reliable = false }, failure{}},
		{"unknown key, in an outage: it may be new", func(s *State) { s.KeyFound, s.Reliable = false, false }, failure{503, "stale_configuration"}},
		{"unknown route, in an outage: it may be new", func(s *State) { s.RouteFound, s.Reliable = false, false }, failure{503, "stale_configuration"}},
		{"a public route needs no key", func(s *State) { s.NeedsKey, s.KeyFound = false, false }, failure{}},
		{"a public route is served in a store outage", func(s *State) { s.NeedsKey, s.Reliable, s.ServesKeys = false, false, false }, failure{}},
		{"shutting down, with too little time left", func(s *State) { s.NoTimeLeft = true }, failure{503, "leaving"}},
		{"shutdown is checked before the key", func(s *State) { s.NoTimeLeft, s.KeyFound = true, false }, failure{503, "leaving"}},
		{"the route is checked before shutdown", func(s *State) { s.NoTimeLeft, s.RouteFound = true, false }, failure{404, ""}},
	} {
		t.Run(row.rule, func(t *testing.T) {
			state := ready
			row.change(&state)
			assert.Equal(t, failureOf(t, Check(state)), row.want)
		})
	}
}

// TestCheckSend guards against sending a request that a change after its admission forbids, and
// against a retryable error when the configuration no longer allows the request.
func TestCheckSend(t *testing.T) {
	ready := SendState{RouteFound: true, NeedsKey: true, Reliable: true, ServesKeys: true, KeyFound: true}
	for _, row := range []struct {
		rule   string
		change func(*SendState)
		want   failure
	}{
		{"nothing has changed", func(*SendState) {}, failure{}},
		{"the endpoint is draining or gone", func(s *SendState) { s.ExclusionReason = ryeford.ReasonLeaving }, failure{503, "leaving"}},
		{"its failure domain is evacuated", func(s *SendState) { s.ExclusionReason = ryeford.ReasonEvacuated }, failure{503, "evacuated"}},
		{"the endpoint is backing off", func(s *SendState) { s.ExclusionReason = ryeford.ReasonBackingOff }, failure{503, "resting"}},
		{"the configuration became stale", func(s *SendState) { s.Reliable, s.ServesKeys = false, false }, failure{503, "stale_configuration"}},
		{"in a store outage during which keys are served", func(s *SendState) { s.Reliable = false }, failure{}},
		{"the key is unknown in an outage: the configuration may be stale", func(s *SendState) { s.KeyFound, s.Reliable = false, false }, failure{503, "stale_configuration"}},
		{"the key was revoked", func(s *SendState) { s.KeyFound = false }, failure{401, "key_taken"}},
		{"the key was revoked, but the configuration may be stale", func(s *SendState) { s.KeyFound, s.Reliable, s.ServesKeys = false, false, false }, failure{503, "stale_configuration"}},
		{"the route was removed", func(s *SendState) { s.RouteFound = false }, failure{404, "route_removed"}},
		{"the route was removed, but the configuration may be stale", func(s *SendState) { s.RouteFound, s.Reliable, s.ServesKeys = false, false, false }, failure{503, "stale_configuration"}},
		{"a public route may be removed too", func(s *SendState) { s.RouteFound, s.NeedsKey, s.KeyFound = false, false, false }, failure{404, "route_removed"}},
		{"a public route needs neither lease nor key", func(s *SendState) { s.NeedsKey, s.Reliable, s.ServesKeys, s.KeyFound = false, false, false, false }, failure{}},
		{"the endpoint is checked first: another may serve the request", func(s *SendState) { s.ExclusionReason, s.Reliable, s.ServesKeys = ryeford.ReasonLeaving, false, false }, failure{503, "leaving"}},
	} {
		t.Run(row.rule, func(t *testing.T) {
			sending := ready
			row.change(&sending)
			assert.Equal(t, failureOf(t, CheckSend(sending)), row.want)
		})
	}
}

// TestCheckTime checks which requests have too little time left to be answered.
func TestCheckTime(t *testing.T) {
	const minResponseTime = 50 * time.Millisecond
	late := failure{503, "deadline"}
	for _, row := range []struct {
		rule                  string
		left, minResponseTime time.Duration
		want                  failure
	}{
		{"enough time", time.Second, minResponseTime, failure{}},
		{"as much as the fastest response took", minResponseTime, minResponseTime, failure{}},
		{"less than that", minResponseTime - 1, minResponseTime, late},
		{"no response is known", 1, 0, failure{}},
		{"the deadline has passed", 0, 0, late},
		{"the deadline passed some time ago", -time.Second, 0, late},
	} {
		assert.Equal(t, failureOf(t, CheckTime(row.left, row.minResponseTime)), row.want, row.rule)
	}
}

// TestBody checks the limits of bodies, and the errors for bodies beyond them.
func TestBody(t *testing.T) {
	assert.Equal(t, MaxBody(65536), int64(65536))
	assert.Equal(t, MaxBody(0), int64(4<<20), "no configuration yet")
	assert.Equal(t, CallerMemory(16), int64(4<<20), "a quarter of the memory")
	assert.Equal(t, BodySize(100, 1000), int64(100))
	assert.Equal(t, BodySize(-1, 1000), int64(1000), "chunked: up to the maximum size")
	assert.Equal(t, BodySize(5000, 1000), int64(1000), "no more than is read before the body is refused")
	assert.Equal(t, failureOf(t, NoMemory()), failure{503, "overload"})
	assert.Equal(t, failureOf(t, BodyFailure(&http.MaxBytesError{Limit: 1000})), failure{status: 413})
	assert.Equal(t, failureOf(t, BodyFailure(errors.New("reset"))), failure{status: 400})
}

// TestBodyTimeout guards against waiting for a body longer than its caller waits.
func TestBodyTimeout(t *testing.T) {
	assert.Equal(t, BodyTimeout(time.Second), time.Second)
	assert.Equal(t, BodyTimeout(giveup.NoLimit), 15*time.Second)
}

// TestStartWait guards against requests that wait for a starting router longer than half of their
// caller's remaining time.
func TestStartWait(t *testing.T) {
	const startTimeout = 500 * time.Millisecond
	assert.Equal(t, StartWait(0, startTimeout, giveup.NoLimit), startTimeout)
	assert.Equal(t, StartWait(400*time.Millisecond, startTimeout, giveup.NoLimit), 100*time.Millisecond)
	assert.Assert(t, StartWait(startTimeout, startTimeout, giveup.NoLimit) <= 0, "the start timeout has elapsed")
	assert.Assert(t, StartWait(time.Hour, startTimeout, giveup.NoLimit) <= 0)
	assert.Equal(t, StartWait(0, startTimeout, 200*time.Millisecond), 100*time.Millisecond, "the rest is left for a retry")
	assert.Assert(t, StartWait(0, startTimeout, -1) <= 0, "the caller has given up")
}
