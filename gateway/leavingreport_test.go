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

// An endpoint announced that it leaves while the store was away: its entry still said ready, and its
// answers said otherwise. The router that had passed such an answer on sent it requests ten seconds
// later, some of which it might not have lived to answer. Routers knew of leaving by the list alone, and
// read nothing that an endpoint says of itself but its load. What settled it: no line of any router names
// the endpoint as draining; the first that doubts it came with the list, after the store's return, since
// its entry had lapsed:
//
//	 8.97 decision=send ... endpoint=i-a5e0fccb6e why=home load=0    (its answer says that it leaves)
//	19.50 decision=send ... endpoint=i-a5e0fccb6e why=home load=0
//	20.53 decision=endpoints ... troubled=true added= draining= dropped= doubted=i-a5e0fccb6e

// TestLeavingReported checks that a router sends nothing more to an endpoint once an answer has said
// that it leaves, though the list has it as ready and the store is away.
func TestLeavingReported(t *testing.T) {
	f := startedFixture(t, nil)
	f.cutOffStore()
	p1 := f.endpoints["p1"]
	p1.SetLeaving(true)
	f.await("an answer that says so", func() bool {
		return f.call("GET", "/open/a").header.Get("Server-Leaving") == "1"
	})
	received := len(p1.Received())
	for range 20 {
		assert.Equal(t, f.call("GET", "/open/a").status, 200)
	}
	assert.Equal(t, len(p1.Received()), received)
}

// TestLeavingReportedByResponse checks which answers count as an endpoint's word that it leaves: each that is its
// own, whether callers get it or not.
func TestLeavingReportedByResponse(t *testing.T) {
	for _, test := range []struct {
		fault  appserver.Fault
		counts bool
	}{
		{appserver.FaultNone, true},
		{appserver.FaultErrors, true}, // its own 500
		{appserver.FaultShed, true},   // refused
		{appserver.FaultBusy, true},   // 503 that may have run
		{appserver.FaultCut, true},    // the stream breaks off after the head
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

// TestLeavingStream checks that a stream whose head says that the endpoint leaves goes on to its end, and
// that the endpoint gets nothing else meanwhile.
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
	// Nothing else serves the service, which is known: the rejection doesn't wait.
	got = f.call("GET", "/stream/a")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, len(m3.Received()), 1)
}

// TestLeavingUntilRestart checks that an endpoint that has said it leaves stays out while its entry says ready,
// written anew or not, and that another life of it is sent requests.
func TestLeavingUntilRestart(t *testing.T) {
	f := startedFixture(t, nil)
	p1 := f.endpoints["p1"]
	p1.SetLeaving(true)
	f.awaitLog("known=5")
	f.await("an answer that says so", func() bool { return f.call("GET", "/open/a").header.Get("Server-Leaving") == "1" })
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
	f.await("a request at the next life", func() bool {
		f.call("GET", "/open/a")
		return len(p1.Received()) > received
	})
}

// TestPeersLeaving checks that a router sends nothing to an endpoint that has said to a peer that it leaves,
// while the store is away.
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
	reporter.await("an answer that says so", func() bool { return reporter.call("GET", "/open/a").header.Get("Server-Leaving") == "1" })
	notified.awaitLog("leaving=p3")
	received := len(p3.Received())
	for range 12 {
		for _, f := range gateways {
			assert.Equal(t, f.call("GET", "/open/a").status, 200)
		}
	}
	assert.Equal(t, len(p3.Received()), received)
}

// TestLeavingAtStart checks that a router which starts learns from its peers which endpoints have said that they
// leave, though that was a while ago and the list has them as ready.
func TestLeavingAtStart(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	seed := gateways[0]
	p3 := seed.addEndpoint("plain", "p3", 0)
	seed.awaitLog("added=p3")
	p3.SetLeaving(true)
	seed.await("an answer that says so", func() bool { return seed.call("GET", "/open/a").header.Get("Server-Leaving") == "1" })
	gateways[1].awaitLog("leaving=p3")
	time.Sleep(4 * time.Second) // for longer than routers pass such word on
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
