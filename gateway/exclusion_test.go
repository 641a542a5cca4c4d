package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestExclusionReason checks each exclusion reason, that it excludes the endpoint from choices, and that an
// endpoint that is leaving is a candidate only as a source of cached prompts.
func TestExclusionReason(t *testing.T) {
	now := time.Unix(1000, 0)
	evacuated := ryeford.Evacuations{Revision: 2, Orders: []ryeford.Evacuation{{FailureDomain: "d", State: 2}}}
	for _, test := range []struct {
		name   string
		change func(b *balancer)
		want   ryeford.Reason
		counts exclusionCounts
	}{
		{"no reason", func(*balancer) {}, "", exclusionCounts{}},
		{"it is not listed any more", func(b *balancer) {
			b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 3, Removed: []ryeford.EndpointID{"x"}}, time.Time{})
		}, ryeford.ReasonLeaving, exclusionCounts{}},
		{"it is listed as draining", func(b *balancer) {
			x := *b.roster.Entry("x")
			x.State = ryeford.EndpointDraining
			b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 3, Present: []ryeford.Endpoint{x.Endpoint}}, time.Time{})
		}, ryeford.ReasonLeaving, exclusionCounts{}},
		{"it reported that it is leaving", func(b *balancer) { b.roster.MarkLeaving(now, "x") }, ryeford.ReasonLeaving, exclusionCounts{}},
		{"its failure domain is evacuated", func(b *balancer) { b.roster.SetEvacuated(now, evacuated) }, ryeford.ReasonEvacuated, exclusionCounts{evacuated: 1}},
		{"it is backing off", func(b *balancer) { b.backoffs.Start(now, "x", time.Second) }, ryeford.ReasonBackingOff, exclusionCounts{backingOff: 1}},
		{"it is backing off and leaving", func(b *balancer) {
			b.backoffs.Start(now, "x", time.Second)
			b.roster.MarkLeaving(now, "x")
		}, ryeford.ReasonLeaving, exclusionCounts{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBalancer(now)
			b.roster.Apply(now, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{{ID: "x", Service: "other", FailureDomain: "d"}}}, time.Time{})
			test.change(b)
			assert.Equal(t, b.exclusionReason(now, b.roster.Entry("x")), test.want)
			chosen := b.choose(now, &endpointQuery{service: "other"})
			assert.Equal(t, chosen.to != nil, test.want == "")
			assert.Equal(t, chosen.excluded, test.counts)
		})
	}
}
