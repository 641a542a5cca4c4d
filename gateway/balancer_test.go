package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/backoff"
	"github.com/ryeford/ryeford/gateway/choice"
	"github.com/ryeford/ryeford/gateway/loads"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/prefixcache"
	"github.com/ryeford/ryeford/gateway/roster"
)

// newTestBalancer returns a balancer of a router that has just read its first endpoint list, with
// endpoints a and b.
func newTestBalancer(now time.Time) *balancer {
	b := &balancer{
		roster:   roster.New(),
		detector: outlier.New(),
		backoffs: backoff.New(),
		loads:    loads.New(),
		prefixes: prefixcache.New(),
		peers:    peers.New(netip.AddrPort{}, peers.DefaultLimits()),
		limits:   choice.Limits{CapFactor: 2},
	}
	b.roster.Apply(now, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{
		{ID: "a", Service: "s", Slots: 8}, {ID: "b", Service: "s", Slots: 8},
	}}, time.Time{})
	return b
}

// TestBalancer checks, after one change of the router's state for each row, to which endpoint a
// request goes and from which one its prompt is fetched. The prompt's home is endpoint home.
func TestBalancer(t *testing.T) {
	now := time.Unix(1000, 0)
	query := &endpointQuery{service: "s", shared: []ryeford.PromptPart{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}}, affinity: 7}
	fresh := newTestBalancer(now).choose(now, query)
	home, other := fresh.to.ID, fresh.source.ID
	for _, test := range []struct {
		name       string
		change     func(b *balancer)
		to, source ryeford.EndpointID
		reason     choice.Reason
	}{
		{"initial state", func(*balancer) {}, home, other, choice.ReasonHome},
		{"another endpoint holds the beginning of the prompt", func(b *balancer) { b.prefixes.Add(now, other, query.shared[:1]) },
			home, other, choice.ReasonHome},
		{"home is draining: it is only the source", func(b *balancer) {
			b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{{ID: home, Service: "s", State: ryeford.EndpointDraining}}}, time.Time{})
		}, other, home, choice.ReasonHome},
		{"home was removed without draining: it is the source for a time", func(b *balancer) {
			b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 2, Removed: []ryeford.EndpointID{home}}, time.Time{})
		}, other, home, choice.ReasonHome},
		{"home is ejected: it isn't the source either", func(b *balancer) { b.detector.Eject(now, home, time.Second) },
			other, "", choice.ReasonHome},
		{"home is more loaded than its cached prompt justifies", func(b *balancer) {
			for range 2 {
				b.loads.Begin(home, "s")
			}
		}, other, home, choice.ReasonLighter},
		{"all are ejected", func(b *balancer) {
			b.detector.Eject(now, home, time.Second)
			b.detector.Eject(now, other, time.Second)
			b.loads.Begin(home, "s")
		}, other, "", choice.ReasonLastResort},
	} {
		b := newTestBalancer(now)
		test.change(b)
		selected := b.choose(now, query)
		assert.Equal(t, selected.to.ID, test.to, test.name)
		assert.Equal(t, selected.choice.Reason, test.reason, test.name)
		source := ryeford.EndpointID("")
		if selected.source != nil {
			source = selected.source.ID
		}
		assert.Equal(t, source, test.source, test.name)
	}
}

// TestBalancerTried checks that an endpoint that was tried is not chosen again, and that none is
// chosen once all were tried.
func TestBalancerTried(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newTestBalancer(now)
	query := &endpointQuery{service: "s", tried: map[ryeford.EndpointID]bool{"a": true}}
	assert.Equal(t, b.choose(now, query).to.ID, ryeford.EndpointID("b"))
	query.tried["b"] = true
	assert.Assert(t, b.choose(now, query).to == nil)
	assert.Assert(t, b.choose(now, &endpointQuery{service: "another"}).to == nil)
}

// TestUnavailableFor checks until when all endpoints of a service are ejected or backing off.
func TestUnavailableFor(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newTestBalancer(now)
	assert.Equal(t, b.unavailableFor(now, "s"), time.Duration(0))
	b.detector.Eject(now, "a", time.Second)
	assert.Equal(t, b.unavailableFor(now, "s"), time.Duration(0), "b is available")
	b.detector.Eject(now, "b", 3*time.Second)
	assert.Equal(t, b.unavailableFor(now, "s"), time.Second, "a is available first")
	b.backoffs.Start(now, "a", 2*time.Second)
	assert.Equal(t, b.unavailableFor(now, "s"), 2*time.Second, "a is available first, after its back-off")
	assert.Equal(t, b.backingOffFor(now, "s"), time.Duration(0), "b is not backing off")
	b.backoffs.Start(now, "b", time.Minute)
	assert.Equal(t, b.backingOffFor(now, "s"), 2*time.Second)
	assert.Equal(t, b.unavailableFor(now, "another"), time.Duration(0))
}

// TestSourceAfterGrowingList guards against endpoints that count as joined because the list had only some of them when
// the router started: what the index knows would be ignored for an endpoint that holds nothing.
func TestSourceAfterGrowingList(t *testing.T) {
	now := time.Unix(1000, 0)
	start := func() *balancer {
		b := newTestBalancer(now)
		b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{
			{ID: "c", Service: "s", Slots: 8}, {ID: "d", Service: "s", Slots: 8}, {ID: "e", Service: "s", Slots: 8},
		}}, time.Time{})
		return b
	}
	for affinity := range uint64(20) {
		query := &endpointQuery{service: "s", shared: []ryeford.PromptPart{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 50}}, affinity: affinity}
		fresh := start().choose(now.Add(time.Second), query)
		for _, entry := range start().roster.Serving("s") {
			if entry.ID == fresh.to.ID || entry.ID == fresh.source.ID {
				continue
			}
			b := start()
			b.prefixes.Add(now, entry.ID, query.shared[:1])
			chosen := b.choose(now.Add(time.Second), query)
			assert.Equal(t, chosen.to.ID, fresh.to.ID)
			assert.Equal(t, chosen.source.ID, entry.ID, "prompt %d at %s", affinity, fresh.to.ID)
		}
	}
}
