package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// These tests guard against poison requests: a request that crashes each endpoint that runs it, and
// that callers and routers retry at endpoint after endpoint.

// crashedEndpoints returns the number of endpoints that received a request with crashBody.
func (f *fixture) crashedEndpoints() int {
	n := 0
	for _, server := range f.endpoints {
		for _, received := range server.Received() {
			if received.Body == crashBody {
				n++
				break
			}
		}
	}
	return n
}

// TestPoisonRequest checks that a request that has crashed three endpoints reaches at most three more
// once bounds.contact has passed, at any router; and that the same body of another account, and other
// bodies of the same account, are served.
func TestPoisonRequest(t *testing.T) {
	const endpoints, recoveryTimeout = 20, 500 * time.Millisecond
	gateways := newPeers(t, 3, time.Hour, func(_ int, s *settings.Gateway) { s.Bounds.Contact = recoveryTimeout })
	first := gateways[0]
	for i := range endpoints {
		first.addEndpoint("model", fmt.Sprintf("m%d", i), 5)
	}
	for _, f := range gateways {
		f.awaitEndpoints(2 + endpoints)
	}
	send := func(i int) reply {
		f := gateways[i%len(gateways)]
		return f.do(f.request("POST", "/stream/a", "key-1", crashBody))
	}
	for i := 0; first.crashedEndpoints() < 3; i++ {
		assert.Assert(t, send(i).status != 200)
	}
	time.Sleep(recoveryTimeout)
	for i := range 8 * len(gateways) {
		got := send(i)
		assert.NilError(t, got.err)
		assert.Assert(t, got.status == 502 || got.status == 503, "%d", got.status)
	}
	crashed := first.crashedEndpoints()
	assert.Assert(t, crashed <= 6, "%d endpoints crashed", crashed)

	f := gateways[1]
	assert.Equal(t, f.do(f.request("POST", "/stream/a", "key-1", "another body")).status, 200)
	assert.Equal(t, f.do(f.request("POST", "/stream/b", "key-1", "another body")).status, 200)
	f.endpoints = first.endpoints
	f.setCrashBody("")
	assert.Equal(t, f.do(f.request("POST", "/stream/a", "key-3", crashBody)).status, 200)
}

// TestQuarantineOff checks that a router with the quarantine disabled holds no requests: neither
// local ones, nor those received from peers, nor those stored on the platform.
func TestQuarantineOff(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, func(i int, s *settings.Gateway) { s.Routing.Quarantine = i == 0 })
	on, off := gateways[0], gateways[1]
	for i := range 10 {
		on.addEndpoint("model", fmt.Sprintf("m%d", i), 5)
	}
	on.awaitEndpoints(12)
	off.awaitEndpoints(12)
	on.quarantineCrashBody()
	assert.Equal(t, on.do(on.request("POST", "/stream/a", "key-1", crashBody)).status, 503)
	off.await("a crash by a request that the other router holds", func() bool {
		off.do(off.request("POST", "/stream/a", "key-1", crashBody))
		return on.crashedEndpoints() > 3
	})
	assert.Assert(t, !strings.Contains(off.log.String(), "decision=quarantine"))
}

// setCrashBody sets the body that crashes all endpoints; empty for none.
func (f *fixture) setCrashBody(body string) {
	for _, server := range f.endpoints {
		server.SetCrashBody(body)
	}
}

// quarantineCrashBody sends a request with crashBody until it has crashed three endpoints, and waits
// until the platform has stored it as held.
func (f *fixture) quarantineCrashBody() {
	f.t.Helper()
	for f.crashedEndpoints() < 3 {
		f.do(f.request("POST", "/stream/a", "key-1", crashBody))
	}
	f.awaitLog("decision=quarantine_written")
}

// TestHeldRequestPersists checks that held requests survive a time when no router runs, because the
// platform stores them.
func TestHeldRequestPersists(t *testing.T) {
	store := rowstore.New()
	before := newFixtureAt(t, store, baseConfiguration(), nil)
	for i := range 8 {
		before.addEndpoint("model", fmt.Sprintf("m%d", i), 5)
	}
	before.awaitReady(true)
	before.awaitEndpoints(8)
	before.quarantineCrashBody()
	before.stop()
	before.awaitStopped()

	after := newFixtureAt(t, store, nil, nil)
	after.awaitReady(true)
	after.awaitEndpoints(8)
	after.awaitLog("from=store")
	got := after.do(after.request("POST", "/stream/a", "key-1", crashBody))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, before.crashedEndpoints(), 3)
}

// TestIsolatedRouter checks that a router that loses all its peers reads new held requests from the
// platform.
func TestIsolatedRouter(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	isolated, other := gateways[0], newFixtureAt(t, gateways[0].store, nil, nil) // without gossip
	for i := range 8 {
		other.addEndpoint("model", fmt.Sprintf("m%d", i), 5)
	}
	for _, f := range []*fixture{isolated, other} {
		f.awaitReady(true)
		f.awaitEndpoints(10)
	}
	gateways[1].stop()
	gateways[1].awaitStopped()
	other.quarantineCrashBody()
	isolated.awaitLog("from=store")
	got := isolated.do(isolated.request("POST", "/stream/a", "key-1", crashBody))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, other.crashedEndpoints(), 3)
}
