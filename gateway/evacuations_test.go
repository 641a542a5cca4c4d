package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// evacuate orders the evacuation of a failure domain.
func (f *fixture) evacuate(domain string) {
	f.store.Put(wire.TableOperators, wire.PrefixEvacuation+domain, []byte("{}"))
}

// received returns the number of requests that the endpoints have received.
func (f *fixture) received() int {
	n := 0
	for _, server := range f.endpoints {
		n += len(server.Received())
	}
	return n
}

// TestEvacuation checks that no endpoint of an evacuated failure domain is sent a request, that
// callers are rejected with Retry-After if there is no other endpoint, and that requests are served
// again once the order is withdrawn.
func TestEvacuation(t *testing.T) {
	f := startedFixture(t, nil)
	assert.Equal(t, f.call("GET", "/safe/a").status, 200)
	f.evacuate("a")
	f.awaitLog("began=a")
	before := f.received()
	for _, path := range []string{"/safe/a", "/open/a"} {
		got := f.call("GET", path)
		assert.Equal(t, got.status, 503)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	f.addEndpoint("plain", "p3", 0) // listed after the order
	f.awaitEndpoints(6)
	assert.Equal(t, f.call("GET", "/safe/a").status, 503)
	assert.Equal(t, f.received(), before)

	f.store.Remove(wire.TableOperators, wire.PrefixEvacuation+"a")
	f.awaitStatus(200, "GET", "/safe/a")
}

// TestEvacuationInDisruption checks that an evacuation ordered during a disruption of the store is in
// force after it, even if it was withdrawn and ordered again.
func TestEvacuationInDisruption(t *testing.T) {
	for name, fault := range map[string]rowstore.Fault{
		"silent": {Silent: true}, "busy": {Status: 503}, "reset": {Reset: true}, "slow": {Slow: time.Second}, "stale": {StaleReads: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startedFixture(t, nil)
			f.store.SetFault(fault)
			f.evacuate("a")
			f.store.Remove(wire.TableOperators, wire.PrefixEvacuation+"a")
			f.evacuate("a")
			f.store.DropHistory()
			time.Sleep(100 * time.Millisecond)
			f.store.SetFault(rowstore.Fault{})
			f.awaitStatus(503, "GET", "/safe/a")
			f.awaitLog("began=a")
		})
	}
}

// TestRestoredEvacuation checks that an evacuation stays in force when the store is restored from a
// backup that lacks it, until operators have had time to order it again.
func TestRestoredEvacuation(t *testing.T) {
	f := startedFixture(t, nil)
	backup := f.store.Backup()
	f.evacuate("a")
	f.awaitLog("began=a")
	before := f.received()
	f.store.Restore(backup)
	f.awaitLog("decision=store_restored")
	f.addEndpoint("plain", "p3", 0)
	f.awaitLog("added=p3")
	for range 16 {
		assert.Equal(t, f.call("GET", "/safe/a").status, 503)
	}
	assert.Equal(t, f.received(), before)
	// The order counts as withdrawn if operators do not write it again.
	f.awaitStatus(200, "GET", "/safe/a")
	f.awaitLog("ended=a")
}

// TestEvacuationFromPeers checks that a router that can't reach the store receives an evacuation, and
// its end, from its peers.
func TestEvacuationFromPeers(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	cut, connected := gateways[0], gateways[1]
	cut.cutOffStore()
	cut.awaitLog("dependency lost")
	connected.evacuate("a")
	cut.awaitLog("began=a")
	connected.awaitLog("began=a")
	assert.Equal(t, cut.call("GET", "/safe/a").status, 503)
	connected.store.Remove(wire.TableOperators, wire.PrefixEvacuation+"a")
	cut.awaitLog("ended=a")
	cut.awaitStatus(200, "GET", "/safe/a")
}
