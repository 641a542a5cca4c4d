package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/settings"
)

// The monotonic clock does not advance while a machine is suspended, so that ages measured
// by it are too small afterwards. These tests inject a suspension and check the first request after it.

// TestSuspendedLease checks that a router that was suspended for longer than its lease serves no key,
// from the first request on, until it has read the configuration again.
func TestSuspendedLease(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Revoke = 3 * time.Second })
	assert.Equal(t, f.call("GET", "/safe/a").status, 200)
	f.cutOffStore()
	f.awaitLog("dependency lost")
	assert.Equal(t, f.call("GET", "/safe/a").status, 200)
	sent := f.received()
	clock.SimulateSuspension(3 * time.Second)
	assert.Equal(t, f.call("GET", "/safe/a").status, 503)
	assert.Equal(t, f.received(), sent)
	f.awaitReady(false)
	f.awaitLog("decision=suspended")
	f.storeCutOff.Store(false)
	f.awaitStatus(200, "GET", "/safe/a")
	f.awaitReady(true)
}

// TestSuspendedRevocation checks that a key that is revoked while the router is suspended does not
// work afterwards, even if the store does not answer.
func TestSuspendedRevocation(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Revoke = 3 * time.Second })
	f.cutOffStore()
	f.awaitLog("dependency lost")
	f.putConfiguration(keyRevoked())
	clock.SimulateSuspension(10 * time.Second)
	for range 20 {
		assert.Equal(t, f.call("GET", "/safe/a").status, 503)
	}
	f.storeCutOff.Store(false)
	f.awaitStatus(401, "GET", "/safe/a")
}

// TestSuspendedConnections checks that connections that were open before a suspension are not reused:
// they may be broken.
func TestSuspendedConnections(t *testing.T) {
	f := startedFixture(t, nil)
	opened := func() int {
		n := 0
		for _, server := range f.endpoints {
			n += server.Connections()
		}
		return n
	}
	for range 4 {
		assert.Equal(t, f.call("GET", "/safe/a").status, 200)
	}
	before := opened()
	assert.Assert(t, before <= 2, "%d connections to two endpoints", before)
	clock.SimulateSuspension(time.Second)
	for range 2 {
		assert.Equal(t, f.call("GET", "/safe/a").status, 200)
	}
	assert.Equal(t, opened(), before+2)
}

// TestSuspendedPeers checks that a router that was suspended considers a peer alive only after it has
// received another message from it.
func TestSuspendedPeers(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	clock.SimulateSuspension(10 * time.Second) // affects both: they run in one process
	for _, f := range gateways {
		f.awaitLog("alive=0 before=1")
		f.awaitLog("alive=1 before=0")
	}
}
