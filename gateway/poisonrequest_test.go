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

// One request ended each engine that began to run it. Its callers sent it again within seconds, under
// other IDs and to any router, and the routers sent it to engine after engine: 19 had ended before it
// stopped coming, and on each all other streams broke off, 4 on average. A router knew of a request
// only while it served it, and rated engines only, so that nothing joined the attempts. What settled
// it: the same account, route and own part of the prompt were under each of ten ends in 11 s, at four
// routers, while the engines were almost idle, and no attempt was ever answered:
//
//	38.40 try_failed ... outcome=failed sent=1 took=506.36ms err="... engine_lost: unexpected EOF"
//	38.79 try_failed ... outcome=failed sent=1 took=399.82ms err="... engine_lost: unexpected EOF"
//	41.53 try_failed ... outcome=failed sent=1 took=546.99ms err="... engine_lost: unexpected EOF"

// crashedEndpoints returns how many endpoints have ended by a request with crashBody.
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

// TestPoisonRequest checks that a request which ends what runs it reaches at most three endpoints
// once it has ended three and the time of contact has passed, whichever of the routers it comes to;
// and that the same body of another account, and another one of the same account, are served.
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
	assert.Assert(t, crashed <= 6, "%d endpoints ended", crashed)

	f := gateways[1]
	assert.Equal(t, f.do(f.request("POST", "/stream/a", "key-1", "another body")).status, 200)
	assert.Equal(t, f.do(f.request("POST", "/stream/b", "key-1", "another body")).status, 200)
	f.endpoints = first.endpoints
	f.setCrashBody("")
	assert.Equal(t, f.do(f.request("POST", "/stream/a", "key-3", crashBody)).status, 200)
}

// TestQuarantineOff checks that a fleet whose operators have switched the quarantine off holds nothing:
// neither what it sees itself, nor what a router with the setting on has told it, nor what the platform
// keeps.
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
	off.await("an endpoint that ends by a request which the other router holds", func() bool {
		off.do(off.request("POST", "/stream/a", "key-1", crashBody))
		return on.crashedEndpoints() > 3
	})
	assert.Assert(t, !strings.Contains(off.log.String(), "decision=quarantine"))
}

// setCrashBody sets the body that ends all endpoints; empty for none.
func (f *fixture) setCrashBody(body string) {
	for _, server := range f.endpoints {
		server.SetCrashBody(body)
	}
}

// quarantineCrashBody sends a request that ends what runs it until it is held, and checks that the platform
// keeps that.
func (f *fixture) quarantineCrashBody() {
	f.t.Helper()
	for f.crashedEndpoints() < 3 {
		f.do(f.request("POST", "/stream/a", "key-1", crashBody))
	}
	f.awaitLog("decision=quarantine_written")
}

// TestHeldRequestPersists checks that routers which start when none runs hold what was held
// before, by what the platform keeps.
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

// TestIsolatedRouter checks that a router which loses all its peers learns from the platform what is
// held since.
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
