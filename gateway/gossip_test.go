package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/loads"
	"github.com/ryeford/ryeford/gateway/overload"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/prefixcache"
	"github.com/ryeford/ryeford/gateway/quarantine"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

// newGossip returns the gossip of a router with one endpoint, "e".
func newGossip(port uint16) *gossip {
	self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	r := roster.New()
	r.Apply(time.Now(), &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{{ID: "e"}}}, time.Time{})
	list := newEndpointList(settings.DefaultGateway(), nil)
	list.roster = r
	return &gossip{
		self:          self,
		endpoints:     list,
		started:       1,
		table:         peers.New(self, peers.DefaultLimits()),
		configuration: newConfiguration(configurationOptions{}),
		roster:        r,
		prefixes:      prefixcache.New(),
		loads:         loads.New(),
		streams:       list.streams,
		overload:      overload.New(overload.Options{Limits: true, FairShares: true}),
		quarantine:    newQuarantineState(nil, log.NewNopLogger(), telemetry.NewSet()),
		log:           log.NewNopLogger(),
		metrics:       telemetry.NewSet(),
	}
}

// TestGossipMerge checks that a router's message reaches another router's tables, except for prompts
// at unknown endpoints.
func TestGossipMerge(t *testing.T) {
	a, b := newGossip(7001), newGossip(7002)
	now := time.Now()
	parts := []ryeford.PromptPart{{ID: 11}, {ID: 12}}
	a.loads.Begin("e", "s")
	a.addPrompt("e", parts, false)
	a.addPrompt("unknown", parts, false)
	b.merge(now, a.message(now, 1, true))
	assert.Equal(t, b.table.Requests(now, "e"), 1)
	assert.Equal(t, b.table.Sample(now, "s"), peers.Sample{Alive: 1, Counted: 1, Complete: 1, Requests: 1})
	assert.Equal(t, len(b.prefixes.CachedTokens(now, parts)), 1)
	assert.Equal(t, len(a.message(now, 2, true).Prompts), 0, "prompts are sent only once")
	suspect := quarantine.FingerprintOf("bank", "/stream/a", nil)
	a.quarantine.table.RecordCrash(now, &quarantine.Subject{Account: 0, Fingerprints: []quarantine.Fingerprint{suspect}}, quarantine.Crash{Began: now.Add(-time.Second), Ended: now})
	b.merge(now, a.briefMessage(now, 3))
	assert.Assert(t, b.quarantine.table.MayMatch(suspect.Filter()))
	b.merge(now, a.message(now, 1, true))
	assert.Equal(t, b.table.Alive(now), 1, "an old message has no effect")
}

// TestGossipPrompts checks that the number of prompts in a message is bounded.
func TestGossipPrompts(t *testing.T) {
	p := newGossip(7001)
	for range 2 * peers.MaxPrompts {
		p.addPrompt("e", nil, false)
	}
	assert.Equal(t, len(p.message(time.Now(), 1, true).Prompts), peers.MaxPrompts)
}

// TestGossipPromptParts checks that the number of prompt parts in a message is bounded, and counted
// separately for each message.
func TestGossipPromptParts(t *testing.T) {
	p := newGossip(7001)
	p.addPrompt("e", make([]ryeford.PromptPart, peers.MaxPromptParts-1), false)
	p.addPrompt("e", make([]ryeford.PromptPart, 2), false)
	prompts := p.message(time.Now(), 1, true).Prompts
	assert.Equal(t, len(prompts[0].Parts), peers.MaxPromptParts-1)
	assert.Equal(t, len(prompts[1].Parts), 1)
	p.addPrompt("e", make([]ryeford.PromptPart, 2), false)
	assert.Equal(t, len(p.message(time.Now(), 2, true).Prompts[0].Parts), 2)
}

// TestGossipDropped checks that datagrams that can't be sent or decoded are counted.
func TestGossipDropped(t *testing.T) {
	p := newGossip(7001)
	dropped := func(reason string) int {
		for line := range strings.Lines(string(p.metrics.Write())) {
			var n int
			if _, err := fmt.Sscanf(line, "ryeford_gossip_dropped_total{reason=\""+reason+"\"} %d", &n); err == nil {
				return n
			}
		}
		return 0
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- p.receive(ctx, conn) }()
	_, err = conn.WriteTo([]byte("not a message"), conn.LocalAddr())
	assert.NilError(t, err)
	for limit := time.Now().Add(20 * time.Second); dropped(droppedFormat) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(limit), "the datagram was never counted")
	}
	schedule := peers.NewSchedule(time.Now(), peers.BytesPerSecond)
	nowhere := []netip.AddrPort{netip.AddrPortFrom(netip.IPv6Unspecified(), 0), netip.AddrPortFrom(netip.IPv6Unspecified(), 0)}
	p.sendTo(conn, nowhere, p.message(time.Now(), 1, true), schedule)
	assert.Equal(t, dropped(droppedSend), 2)
	cancel()
	assert.NilError(t, conn.Close())
	assert.NilError(t, <-done)
}
