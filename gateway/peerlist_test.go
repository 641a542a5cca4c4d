package gateway_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
)

// TestEndpointListFromPeers checks that a router that is cut off from the store follows the list of
// endpoints through its peers: it sends requests to an endpoint that joins, and in time none to one
// that has left.
func TestEndpointListFromPeers(t *testing.T) {
	gateways := newPeers(t, 3, time.Hour, nil)
	cut, connected := gateways[0], gateways[1]
	cut.cutOffStore()
	connected.addEndpoint("plain", "p3", 0)
	cut.awaitEndpoints(3)
	for _, id := range []string{"p1", "p2"} {
		connected.store.Remove(wire.TableEndpoints, id)
	}
	removed := time.Now()
	for {
		sent := time.Now()
		before := len(connected.endpoints["p3"].Received())
		assert.Equal(t, cut.call("GET", "/safe/a").status, 200)
		if len(connected.endpoints["p3"].Received()) == before {
			assert.Assert(t, sent.Sub(removed) < settings.DefaultGateway().Bounds.Drain, "a request was sent to an endpoint that has left")
			continue
		}
		if time.Since(removed) > time.Second {
			break
		}
	}
}

// TestStartFromPeer checks that a router that starts without access to the store reads the
// configuration and the list of endpoints from a seed, and serves.
func TestStartFromPeer(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	seed := gateways[0]
	started := newFixtureAt(t, seed.store, nil, func(s *settings.Gateway) {
		s.VM = "router-new"
		s.Peers.AddrPort = freeport.Next()
		s.Bounds.Revoke = time.Hour
		s.Seeds = []settings.Address{{AddrPort: seed.peers}}
		s.Routing.StartSpread = time.Minute
		s.Store.AddrPort = freeport.Next() // no listener
	})
	started.awaitReady(true)
	started.awaitEndpoints(2)
	assert.Equal(t, started.call("GET", "/safe/a").status, 200)
	assert.Assert(t, strings.Contains(started.log.String(), "decision=configuration_from_peer"))
}

// TestStartWithoutPeers checks that a router reads the store itself if its seeds are down.
func TestStartWithoutPeers(t *testing.T) {
	f := newFixture(t, baseConfiguration(), func(s *settings.Gateway) {
		s.Peers.AddrPort = freeport.Next()
		s.Seeds = []settings.Address{{AddrPort: freeport.Next()}}
	})
	f.addEndpoint("plain", "p1", 0)
	f.awaitReady(true)
	f.awaitEndpoints(1)
	assert.Equal(t, f.call("GET", "/safe/a").status, 200)
}

// TestStoreCalls checks that routers that exchange gossip share the reads of the store: together they
// make about as many calls as one router alone.
func TestStoreCalls(t *testing.T) {
	gateways := newPeers(t, 6, time.Hour, func(_ int, s *settings.Gateway) {
		s.Routing.EndpointsWait, s.Routing.LeaseRefresh = 0, 0
	})
	calls := func() (sum int64) {
		for _, f := range gateways {
			sum += f.storeCalls.Load()
		}
		return sum
	}
	before := calls()
	const duration = 4 * time.Second
	time.Sleep(duration)
	count := calls() - before
	t.Logf("%d calls of %d routers in %s", count, len(gateways), duration)
	assert.Assert(t, count < 60, "without sharing, each router makes 40 reads of the configuration and the list")
}

// TestEndpointListAfterIsolation checks that a router that has lost its peers' updates and the store
// ends up with the current list once both are back.
func TestEndpointListAfterIsolation(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	cut, connected := gateways[0], gateways[1]
	cut.cutOffStore()
	connected.cutOffStore()
	connected.store.Remove(wire.TableEndpoints, "p1")
	time.Sleep(500 * time.Millisecond)
	connected.storeCutOff.Store(false)
	cut.storeCutOff.Store(false)
	for _, f := range gateways {
		f.await("the list without p1", func() bool {
			return strings.Contains(f.log.String(), "doubted=p1") || strings.Contains(f.log.String(), "departed=p1")
		})
	}
}
