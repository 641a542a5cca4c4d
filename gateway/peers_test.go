package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// newPeers starts n gateways that share a store and gossip, with the time after which
// a revoked key must not work. change may change the settings of the i-th.
func newPeers(t *testing.T, n int, revoke time.Duration, change func(i int, s *settings.Gateway)) []*fixture {
	t.Helper()
	store := rowstore.New()
	gateways := make([]*fixture, n)
	for i := range gateways {
		var config jsonMap
		if i == 0 {
			config = baseConfig()
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
	gateways[0].addServer("plain", "p1", 0)
	gateways[0].addServer("plain", "p2", 0)
	for _, f := range gateways {
		f.awaitReady(true)
		f.awaitServers(2)
	}
	for _, f := range gateways {
		f.eventually(func() bool { return strings.Contains(f.log.String(), fmt.Sprintf("decision=peers alive=%d", n-1)) })
	}
	return gateways
}

// TestPeersRenewLease checks that a router that is cut off from the store goes on
// serving for as long as its peers confirm what it knows, and that a key that is
// revoked meanwhile stops to work there within its time all the same.
func TestPeersRenewLease(t *testing.T) {
	const revoke = 1500 * time.Millisecond
	gateways := newPeers(t, 3, revoke, nil)
	cut, sound := gateways[0], gateways[1]
	cut.cutOff.Store(true)
	cut.cut()
	cut.eventually(func() bool { return strings.Contains(cut.log.String(), "dependency lost") })
	for since := time.Now(); time.Since(since) < 2*revoke; time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, cut.call("GET", "/safe/a").status, 200)
	}
	sound.setConfig(withoutKey())
	acknowledged := time.Now()
	sound.eventually(func() bool { return sound.call("GET", "/safe/a").status == 401 })
	for {
		sent := time.Now()
		got := cut.call("GET", "/safe/a")
		if got.status == 503 {
			break
		}
		assert.Equal(t, got.status, 200)
		assert.Assert(t, sent.Sub(acknowledged) < revoke, "the key worked %s after it was revoked", sent.Sub(acknowledged))
	}
	assert.Equal(t, cut.call("GET", "/safe/a").status, 503)
	cut.cutOff.Store(false)
	cut.eventually(func() bool { return cut.call("GET", "/safe/a").status == 401 })
}

// TestPeersCutOffTogether checks that routers which all lost the store do not renew
// each other's lease.
func TestPeersCutOffTogether(t *testing.T) {
	gateways := newPeers(t, 2, 1200*time.Millisecond, nil)
	for _, f := range gateways {
		f.cutOff.Store(true)
		f.cut()
	}
	for _, f := range gateways {
		f.eventually(func() bool { return f.call("GET", "/safe/a").status == 503 })
	}
	for _, f := range gateways {
		assert.Equal(t, f.call("GET", "/safe/a").status, 503)
		f.awaitReady(false)
	}
}

// TestPeersTellOfNewer checks that a router whose own next read is far off reads
// the configuration as soon as a peer has a newer one.
func TestPeersTellOfNewer(t *testing.T) {
	const never = time.Hour
	gateways := newPeers(t, 2, 2*never, func(i int, s *settings.Gateway) {
		if i == 1 {
			s.Routing.LeaseRefresh = never / 4
		}
	})
	gateways[0].setConfig(withoutKey())
	gateways[1].eventually(func() bool { return gateways[1].call("GET", "/safe/a").status == 401 })
}
