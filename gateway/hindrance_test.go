package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestHindrance checks why an endpoint may be sent nothing, by what is known of it; that each reason bars it
// from choices; and that an endpoint that leaves is a candidate only as a holder of prompts.
func TestHindrance(t *testing.T) {
	now := time.Unix(1000, 0)
	evacuated := ryeford.Evacuations{Revision: 2, Orders: []ryeford.Evacuation{{FailureDomain: "d", State: 2}}}
	for _, test := range []struct {
		name   string
		change func(b *balancer)
		want   ryeford.Reason
		barred exclusionCounts
	}{
		{"nothing", func(*balancer) {}, "", exclusionCounts{}},
		{"its entry is gone", func(b *balancer) {
			b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 3, Removed: []ryeford.EndpointID{"x"}}, time.Time{})
		}, ryeford.ReasonLeaving, exclusionCounts{}},
		{"its entry drains", func(b *balancer) {
			x := *b.roster.Entry("x")
			x.State = ryeford.EndpointDraining
			b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 3, Present: []ryeford.Endpoint{x.Endpoint}}, time.Time{})
		}, ryeford.ReasonLeaving, exclusionCounts{}},
		{"it has said that it leaves", func(b *balancer) { b.roster.Leave(now, "x") }, ryeford.ReasonLeaving, exclusionCounts{}},
		{"its failure domain is evacuated", func(b *balancer) { b.roster.SetEvacuated(now, evacuated) }, ryeford.ReasonEvacuated, exclusionCounts{evacuated: 1}},
		{"it has asked for rest", func(b *balancer) { b.rests.Ask(now, "x", time.Second) }, ryeford.ReasonResting, exclusionCounts{backingOff: 1}},
		{"it rests, and leaves", func(b *balancer) {
			b.rests.Ask(now, "x", time.Second)
			b.roster.Leave(now, "x")
		}, ryeford.ReasonLeaving, exclusionCounts{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBalancer(now)
			b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{{ID: "x", Service: "other", FailureDomain: "d"}}}, time.Time{})
			test.change(b)
			assert.Equal(t, b.exclusionReason(now, b.roster.Entry("x")), test.want)
			chosen := b.choose(now, &endpointQuery{service: "other"})
			assert.Equal(t, chosen.to != nil, test.want == "")
			assert.Equal(t, chosen.excluded, test.barred)
		})
	}
}
