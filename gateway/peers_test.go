package gateway_test

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// newPeers starts n gateways that share a store and exchange gossip. revoke is the time within which a
// revoked key must stop working; change, if not nil, changes the settings of the i-th gateway.
func newPeers(t *testing.T, n int, revoke time.Duration, change func(i int, s *settings.Gateway)) []*fixture {
	t.Helper()
	store := rowstore.New()
	gateways := make([]*fixture, n)
	for i := range gateways {
		var config *wire.Configuration
		if i == 0 {
			config = baseConfiguration()
		}
		gateways[i] = newFixtureAt(t, store, config, func(s *settings.Gateway) {
			s.VM = ryeford.VMID(fmt.Sprintf("router-%d", i))
			s.Peers.AddrPort = freeport.Next()
			s.Bounds.Revoke = revoke
			if change != nil {
				change(i, s)
			}
		})
	}
	gateways[0].addEndpoint("plain", "p1", 0)
	gateways[0].addEndpoint("plain", "p2", 0)
	for _, f := range gateways {
		f.awaitReady(true)
		f.awaitEndpoints(2)
	}
	for _, f := range gateways {
		f.awaitLog(fmt.Sprintf("decision=peers alive=%d", n-1))
	}
	return gateways
}

// TestPeersRenewLease checks that a router that is cut off from the store serves as long as its peers
// confirm the configuration, and that a key that is revoked meanwhile stops working there in time,
// because the router reads the configuration from a peer.
func TestPeersRenewLease(t *testing.T) {
	const revoke = 1500 * time.Millisecond
	gateways := newPeers(t, 3, revoke, nil)
	cut, connected := gateways[0], gateways[1]
	cut.cutOffStore()
	cut.awaitLog("dependency lost")
	for since := time.Now(); time.Since(since) < 2*revoke; time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, cut.call("GET", "/safe/a").status, 200)
	}
	connected.putConfiguration(keyRevoked())
	acknowledged := time.Now()
	connected.awaitStatus(401, "GET", "/safe/a")
	for {
		sent := time.Now()
		got := cut.call("GET", "/safe/a")
		if got.status == 401 {
			break
		}
		assert.Equal(t, got.status, 200)
		assert.Assert(t, sent.Sub(acknowledged) < revoke, "the key worked %s after it was revoked", sent.Sub(acknowledged))
	}
	cut.awaitLog("decision=configuration_from_peer")
	for since := time.Now(); time.Since(since) < 2*revoke; time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, cut.call("GET", "/safe/a").status, 401)
	}
	cut.storeCutOff.Store(false)
	cut.awaitStatus(401, "GET", "/safe/a")
}

// TestPeersCutOffTogether checks that routers that have all lost the store do not renew each other's
// lease.
func TestPeersCutOffTogether(t *testing.T) {
	gateways := newPeers(t, 2, 1200*time.Millisecond, nil)
	for _, f := range gateways {
		f.cutOffStore()
	}
	for _, f := range gateways {
		f.awaitStatus(503, "GET", "/safe/a")
	}
	for _, f := range gateways {
		assert.Equal(t, f.call("GET", "/safe/a").status, 503)
		f.awaitReady(false)
	}
}

// TestPeersReportNewer checks that a router reads the configuration as soon as a peer has a newer one,
// even if its own next read is not due.
func TestPeersReportNewer(t *testing.T) {
	const never = time.Hour
	gateways := newPeers(t, 2, 2*never, func(i int, s *settings.Gateway) {
		if i == 1 {
			s.Routing.LeaseRefresh = never / 4
		}
	})
	gateways[0].putConfiguration(keyRevoked())
	gateways[1].awaitStatus(401, "GET", "/safe/a")
}

// TestPeersSupersede checks that a router that receives a report of a newer configuration and can't
// read it, though the store answers other calls, is unready and rejects requests on public routes as
// well, until it has read it.
func TestPeersSupersede(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, func(_ int, s *settings.Gateway) { occupyPort(t, s.Peers.AddrPort) })
	narrow, wide := gateways[0], gateways[1]
	public := func(f *fixture) int { return f.do(f.request("GET", "/open/a", "", "")).status }
	assert.Equal(t, public(narrow), 200)
	narrow.storeRate.Store(10 << 10) // too slow to complete a read of the configuration
	wide.putConfiguration(largeConfiguration(2))
	narrow.await("a rejection on a public route", func() bool { return public(narrow) == 503 })
	narrow.awaitReady(false)
	assert.Equal(t, public(wide), 200)
	narrow.storeRate.Store(0)
	narrow.await("the configuration", func() bool { return public(narrow) == 200 })
	narrow.awaitReady(true)
}

// occupyPort listens on the TCP port of an address, so that a gateway can't serve its configuration
// there.
func occupyPort(t *testing.T, address netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", address.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
}

// TestPeersWithoutConfiguration checks that a router rejects a key that may be revoked if its peers
// can't serve the newer configuration.
func TestPeersWithoutConfiguration(t *testing.T) {
	const revoke = 1500 * time.Millisecond
	gateways := newPeers(t, 2, revoke, func(_ int, s *settings.Gateway) { occupyPort(t, s.Peers.AddrPort) })
	cut, connected := gateways[0], gateways[1]
	cut.cutOffStore()
	cut.awaitLog("dependency lost")
	assert.Equal(t, cut.call("GET", "/safe/a").status, 200)
	connected.putConfiguration(keyRevoked())
	cut.awaitStatus(503, "GET", "/safe/a")
	assert.Equal(t, cut.call("GET", "/safe/a").status, 503)
	cut.storeCutOff.Store(false)
	cut.awaitStatus(401, "GET", "/safe/a")
}

// TestPeersAfterLongPrompt checks that a prompt with very many shared parts does not exhaust a
// router's gossip rate, which would make its peers consider it gone.
func TestPeersAfterLongPrompt(t *testing.T) {
	gateways := newPeers(t, 2, time.Hour, nil)
	sender, peer := gateways[0], gateways[1]
	var parts strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&parts, "%x:1,", i+1)
	}
	request := sender.request("GET", "/open/a", "", "")
	request.Header.Set(wire.HeaderPrompt, parts.String()+"ffff:1")
	assert.Equal(t, sender.do(request).status, 200)
	time.Sleep(4 * time.Second) // a silent peer is considered gone after 3 s
	assert.Assert(t, !strings.Contains(peer.log.String(), "decision=peers alive=0"))
}
