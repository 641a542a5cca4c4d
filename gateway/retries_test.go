package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/standin/appserver"
)

// notRunStatuses are the statuses that show callers that a request has not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// TestAtMostOnce checks, for each fault of an endpoint, that a request that isn't idempotent runs at
// most once, and that its response neither is a success that the endpoint didn't send nor has a status
// that states that it has not run.
func TestAtMostOnce(t *testing.T) {
	for _, fault := range []appserver.Fault{
		appserver.FaultErrors, appserver.FaultBusy, appserver.FaultReset, appserver.FaultCut,
		appserver.FaultUnsigned, appserver.FaultEncoded, appserver.FaultGarbage, appserver.FaultHang,
	} {
		t.Run(string(fault), func(t *testing.T) {
			f := startedFixture(t, nil)
			f.setFaults(fault, -1)
			for _, path := range []string{"/once/a", "/single/a", "/hasty/a", "/stream/a"} {
				if fault == appserver.FaultHang && path != "/hasty/a" {
					continue // it would take the route's timeout
				}
				got := f.call("POST", path)
				assert.Equal(t, f.runs(got.id), 1, path)
				assert.Assert(t, !notRunStatuses[got.status], "%s: %d", path, got.status)
				assert.Assert(t, got.status >= 500 || got.err != nil, "%s: %d %q", path, got.status, got.body)
			}
		})
	}
}

// TestNotRunIsRetried checks that a request that an endpoint did not run is sent to another one if
// its route allows two attempts, and is refused with a Retry-After if not.
func TestNotRunIsRetried(t *testing.T) {
	f := startedFixture(t, nil)
	for _, server := range f.endpoints {
		server.SetFault(appserver.FaultShed, 0)
	}
	f.endpoints["p1"].SetFault(appserver.FaultShed, -1)
	for range 6 {
		got := f.call("POST", "/once/a")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, f.runs(got.id), 1)
	}
	f.endpoints["p2"].SetFault(appserver.FaultShed, -1)
	got := f.call("POST", "/single/a")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, f.runs(got.id), 0)
}

// TestIdempotentRetry checks that an idempotent request is answered even if one of two endpoints fails.
func TestIdempotentRetry(t *testing.T) {
	for _, fault := range []appserver.Fault{
		appserver.FaultErrors, appserver.FaultBusy, appserver.FaultReset, appserver.FaultCut,
		appserver.FaultUnsigned, appserver.FaultEncoded, appserver.FaultGarbage, appserver.FaultShed,
	} {
		t.Run(string(fault), func(t *testing.T) {
			f := startedFixture(t, nil)
			f.endpoints["p1"].SetFault(fault, -1)
			for range 4 {
				got := f.call("GET", "/safe/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, 200)
				assert.Equal(t, got.body, "answer to "+got.id+" of p2")
			}
		})
	}
}

// TestRetrySameEndpoint checks that an idempotent request is retried at the same endpoint after a
// server error if there is no other one. A request that was refused is not.
func TestRetrySameEndpoint(t *testing.T) {
	f := newFixture(t, baseConfiguration(), nil)
	only := f.addEndpoint("plain", "p1", 0)
	f.awaitReady(true)
	f.awaitEndpoints(1)
	only.SetFault(appserver.FaultErrors, 1)
	got := f.call("GET", "/safe/a")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, only.Runs()[got.id], 2)
	only.SetFault(appserver.FaultErrors, 2)
	got = f.call("GET", "/safe/a")
	assert.Equal(t, got.status, 500, "the endpoint's response")
	only.SetFault(appserver.FaultErrors, 1)
	got = f.call("POST", "/once/a")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, only.Runs()[got.id], 1)
	only.SetFault(appserver.FaultShed, 1)
	got = f.call("GET", "/safe/a")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, only.Runs()[got.id], 0)
}

// TestReusedAddress checks that a request never runs at an endpoint that took over the address of
// another one.
func TestReusedAddress(t *testing.T) {
	f := startedFixture(t, nil)
	f.endpoints["p1"].ID = "stranger"
	f.endpoints["p2"].ID = "stranger"
	got := f.call("POST", "/single/a")
	assert.Equal(t, got.status, 503)
	assert.Equal(t, f.runs(got.id), 0)
}

// TestSurplusResponses checks that a surplus response, before or after a request's own response,
// reaches no caller.
func TestSurplusResponses(t *testing.T) {
	for _, fault := range []appserver.Fault{appserver.FaultExtra, appserver.FaultForeign, appserver.FaultUnframed} {
		t.Run(string(fault), func(t *testing.T) {
			f := startedFixture(t, nil)
			f.setFaults(fault, -1)
			for range 10 {
				got := f.call("POST", "/once/a")
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, 200)
				assert.Assert(t, strings.HasPrefix(got.body, "answer to "+got.id+" of p"), got.body)
				assert.Equal(t, f.runs(got.id), 1)
			}
		})
	}
}

// TestResume checks that a resumable stream continues at another endpoint with each event sent once,
// and that any other truncated stream does not look complete.
func TestResume(t *testing.T) {
	f := startedFixture(t, nil)
	for _, id := range []string{"m1", "m2"} {
		f.endpoints[id].SetFault(appserver.FaultCut, -1)
	}
	for range 5 {
		got := f.call("POST", "/resume/a")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, events(5))
	}
	f.endpoints["m3"].SetFault(appserver.FaultCut, -1)
	got := f.call("POST", "/stream/a")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(1))
	assert.Equal(t, f.runs(got.id), 1)
}
