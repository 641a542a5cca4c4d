package gateway_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
)

// An endpoint that leaves during an outage of the store is still ready in the list. These tests check
// that routers use the endpoint's own status reports, and send it no more requests.

// TestLeavingReported checks that a router sends no more requests to an endpoint that has reported
// that it is leaving, though the list has it as ready and the store is unavailable.
func TestLeavingReported(t *testing.T) {
	f := startedFixture(t, nil)
	f.cutOffStore()
	p1 := f.endpoints["p1"]
	p1.SetLeaving(true)
	f.await("a response that reports leaving", func() bool {
		return f.call("GET", "/open/a").header.Get("Server-Leaving") == "1"
	})
	received := len(p1.Received())
	for range 20 {
		assert.Equal(t, f.call("GET", "/open/a").status, 200)
	}
	assert.Equal(t, len(p1.Received()), received)
}

// TestLeavingReportedByResponse checks which responses count as status reports of an endpoint: those
// that it sent itself, whether or not callers receive them.
func TestLeavingReportedByResponse(t *testing.T) {
	for _, test := range []struct {
		fault  appserver.Fault
		counts bool
	}{
		{appserver.FaultNone, true},
		{appserver.FaultErrors, true}, // its own 500
		{appserver.FaultShed, true},   // rejected
		{appserver.FaultBusy, true},   // 503 that may have run
		{appserver.FaultCut, true},    // the stream is cut off after the header
		{appserver.FaultUnsigned, false},
		{appserver.FaultEncoded, false},
		{appserver.FaultGarbage, false},
		{appserver.FaultReset, false},
	} {
		t.Run(string(test.fault), func(t *testing.T) {
			t.Parallel()
			f := startedFixture(t, nil)
			m1 := f.endpoints["m1"]
			m1.SetLeaving(true)
			m1.SetFault(test.fault, 1)
			f.await("a request at the endpoint", func() bool {
				f.call("GET", "/stream/a")
				return len(m1.Received()) > 0
			})
			counted := strings.Contains(f.log.String(), "endpoint=m1 leaves=true")
			assert.Equal(t, counted, test.counts)
		})
	}
}

// TestLeavingStream checks that a stream whose header reports that the endpoint is leaving is
// completed, and that the endpoint gets no other request.
func TestLeavingStream(t *testing.T) {
	f := newFixture(t, baseConfiguration(), nil)
	m3 := f.addEndpoint("model", "m3", 5)
	f.awaitReady(true)
	f.awaitEndpoints(1)
	m3.SetLeaving(true)
	got := f.call("GET", "/stream/a")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, events(5))
	assert.Equal(t, len(m3.Received()), 1)
	// No other endpoint serves the service, and the list is known: the request is rejected without a
	// wait.
	got = f.call("GET", "/stream/a")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(m3.Received()), 1)
}

// TestLeavingUntilRestart checks that an endpoint that has reported that it is leaving is sent no
// requests even if its entry is rewritten as ready, and that its next incarnation is.
func TestLeavingUntilRestart(t *testing.T) {
	f := startedFixture(t, nil)
	p1 := f.endpoints["p1"]
	p1.SetLeaving(true)
	f.awaitLog("known=5")
	f.await("a response that reports leaving", func() bool { return f.call("GET", "/open/a").header.Get("Server-Leaving") == "1" })
	received := len(p1.Received())
	f.putEndpoint("plain", "p1", f.addresses["p1"], wire.StateReady)
	f.addEndpoint("plain", "p3", 0)
	f.awaitEndpoints(6)
	for range 20 {
		assert.Equal(t, f.call("GET", "/open/a").status, 200)
	}
	assert.Equal(t, len(p1.Received()), received)

	p1.SetLeaving(false)
	_, err := f.store.PutJSON(wire.TableEndpoints, "p1", wire.Endpoint{
		Service: "plain", Address: f.addresses["p1"], FailureDomain: "a", Slots: 64, State: wire.StateReady, Born: 1,
	})
	assert.NilError(t, err)
	f.await("a request at the next incarnation", func() bool {
		f.call("GET", "/open/a")
		return len(p1.Received()) > received
	})
}

// TestPeersLeaving checks that a router sends no requests to an endpoint that has reported to a peer
// that it is leaving, while the store is unavailable.
func TestPeersLeaving(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	reporter, notified := gateways[0], gateways[1]
	p3 := reporter.addEndpoint("plain", "p3", 0)
	reporter.awaitLog("added=p3")
	notified.awaitLog("added=p3")
	for _, f := range gateways {
		f.cutOffStore()
	}
	p3.SetLeaving(true)
	reporter.await("a response that reports leaving", func() bool { return reporter.call("GET", "/open/a").header.Get("Server-Leaving") == "1" })
	notified.awaitLog("leaving=p3")
	received := len(p3.Received())
	for range 12 {
		for _, f := range gateways {
			assert.Equal(t, f.call("GET", "/open/a").status, 200)
		}
	}
	assert.Equal(t, len(p3.Received()), received)
}

// TestLeavingAtStart checks that a router that starts receives the leaving endpoints from its peers,
// though they reported it some time ago and the list has them as ready.
func TestLeavingAtStart(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	seed := gateways[0]
	p3 := seed.addEndpoint("plain", "p3", 0)
	seed.awaitLog("added=p3")
	p3.SetLeaving(true)
	seed.await("a response that reports leaving", func() bool { return seed.call("GET", "/open/a").header.Get("Server-Leaving") == "1" })
	gateways[1].awaitLog("leaving=p3")
	time.Sleep(4 * time.Second) // longer than routers repeat such reports
	started := newFixtureAt(t, seed.store, nil, func(s *settings.Gateway) {
		s.VM = "router-new"
		s.Peers.AddrPort = freeport.Next()
		s.Seeds = []settings.Address{{AddrPort: seed.peers}}
	})
	started.awaitLog("leaving=p3")
	received := len(p3.Received())
	for range 20 {
		assert.Equal(t, started.do(started.request("GET", "/open/a", "", "")).status, 200)
	}
	assert.Equal(t, len(p3.Received()), received)
}
