package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/slowstart"
)

// newColdBalancer returns a balancer of an isolated router with endpoints a and b and a known time
// of the source's clock, and a service with a ColdTime of 3 s and a ColdRate of four requests a second.
func newColdBalancer(now time.Time) (*balancer, *ryeford.ServiceRule) {
	b := newTestBalancer(now)
	b.slowStart, b.clock, b.startup, b.minRouters = slowstart.New(), &freshness.SourceClock{}, &startup{}, 1
	b.clock.Observe(now, time.Minute)
	return b, &ryeford.ServiceRule{Name: "s", ColdTime: 3 * time.Second, ColdRate: 4}
}

// TestColdUntil checks until when an endpoint counts as cold: by its list entry, counted from when
// that was first read, and for the service's ColdTime after the evacuation of its failure domain
// ended or the endpoint was unreachable.
func TestColdUntil(t *testing.T) {
	now := time.Unix(1000, 0)
	reportCold := func(cold time.Duration) *ryeford.EndpointUpdate {
		return &ryeford.EndpointUpdate{Revision: 5, Present: []ryeford.Endpoint{{ID: "a", Service: "s", Slots: 8, Cold: cold}}}
	}
	for _, test := range []struct {
		name   string
		change func(b *balancer)
		want   time.Time
	}{
		{"no event", func(*balancer) {}, time.Time{}},
		{"it reports that it is cold", func(b *balancer) { b.roster.Apply(now, reportCold(2*time.Second), time.Time{}) }, now.Add(2 * time.Second)},
		{"it repeats the report", func(b *balancer) {
			b.roster.Apply(now, reportCold(2*time.Second), time.Time{})
			b.roster.Apply(now.Add(time.Second), reportCold(2*time.Second), time.Time{})
		}, now.Add(2 * time.Second)},
		{"it is cold again", func(b *balancer) {
			b.roster.Apply(now, reportCold(0), time.Time{})
			b.roster.Apply(now.Add(time.Second), reportCold(2*time.Second), time.Time{})
		}, now.Add(3 * time.Second)},
		{"the evacuation of its failure domain ended", func(b *balancer) {
			b.roster.SetEvacuated(now, ryeford.Evacuations{Revision: 1, Orders: []ryeford.Evacuation{{State: 1}}})
			b.roster.SetEvacuated(now.Add(time.Second), ryeford.Evacuations{Revision: 2})
		}, now.Add(4 * time.Second)},
		{"it was unreachable", func(b *balancer) { b.detector.Eject(now, "a", outlier.UnreachableEjection) },
			now.Add(outlier.UnreachableEjection + 3*time.Second)},
	} {
		b, service := newColdBalancer(now)
		test.change(b)
		assert.Equal(t, b.coldUntil(b.roster.Entry("a"), service), test.want, test.name)
	}
}

// TestColdEndpoint checks that a cold home gets no more requests than it has time slots, that the
// others go elsewhere, and that it gets all once it is warm. A router that doesn't know its rank
// sends it none.
func TestColdEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	b, service := newColdBalancer(now)
	query := &endpointQuery{service: "s", rule: service, shared: []ryeford.PromptPart{{ID: 1, Tokens: 100}}, affinity: 7}
	home := b.choose(now, query).to.ID
	b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{{ID: home, Service: "s", Slots: 8, Cold: 3 * time.Second}}}, time.Time{})
	send := func(at time.Time) ryeford.EndpointID {
		chosen := b.choose(at, query).to
		assert.Assert(t, chosen != nil)
		if chosen.ID == home {
			assert.Assert(t, b.takeTimeSlot(at, chosen, service))
		}
		return chosen.ID
	}
	count := 0
	for at := now; at.Before(now.Add(2 * time.Second)); at = at.Add(10 * time.Millisecond) {
		if send(at) == home {
			count++
		}
	}
	assert.Assert(t, count >= 5 && count <= 8, "%d requests in 2 s", count)
	assert.Equal(t, send(now.Add(3*time.Second)), home)

	b.clock = &freshness.SourceClock{}
	assert.Assert(t, send(now) != home)
}
