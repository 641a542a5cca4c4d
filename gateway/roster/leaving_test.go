package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestMarkLeaving checks that an endpoint that has reported in a response that it is leaving gets no requests
// for the rest of that incarnation, whatever the list or peers state later, and that its next incarnation gets
// them.
func TestMarkLeaving(t *testing.T) {
	first, second := string(ryeford.NewEndpointID("a", 1000)), string(ryeford.NewEndpointID("a", 2000))
	for _, test := range []struct {
		name  string
		then  func(r *Roster)
		later time.Duration
		want  string
	}{
		{"nothing happens", func(*Roster) {}, 0, "b"},
		{"a day passes", func(*Roster) {}, 24 * time.Hour, "b"},
		{"its entry is ready and older", func(r *Roster) {
			r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{withSequence(ready(first), 4)}}, noSuspects)
		}, 0, "b"},
		{"its entry is ready and newer", func(r *Roster) {
			r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{withSequence(ready(first), 9)}}, noSuspects)
		}, 0, "b"},
		{"the full list is read", func(r *Roster) {
			r.Apply(start, snapshot(revisionOf(1, 3), withSequence(ready(first), 9), ready("b")), noSuspects)
		}, 0, "b"},
		{"the source is restored", func(r *Roster) {
			r.Apply(start, snapshot(revisionOf(2, 1), withSequence(ready(first), 9), ready("b")), noSuspects)
		}, 2 * withholdDuration, "b"},
		{"its entry is draining, and the source is restored", func(r *Roster) {
			r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{withSequence(draining(first), 6)}}, noSuspects)
			r.Apply(start, snapshot(revisionOf(2, 1), withSequence(ready(first), 5), ready("b")), noSuspects)
		}, 2 * withholdDuration, "b"},
		{"a peer withholds other endpoints", func(r *Roster) {
			r.Withhold(start, []ryeford.WithheldEndpoint{{ID: "c", Gone: true}}, time.Second)
		}, 2 * withholdDuration, "b"},
		{"a peer withholds it for a limited time", func(r *Roster) {
			r.Withhold(start, []ryeford.WithheldEndpoint{{ID: ryeford.EndpointID(first), Gone: true}}, time.Second)
		}, 2 * withholdDuration, "b"},
		{"its entry expires in an outage and is written again", func(r *Roster) {
			r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Removed: []ryeford.EndpointID{"a"}}, start.Add(time.Second))
			r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 4), Present: []ryeford.Endpoint{withSequence(ready(first), 12)}}, noSuspects)
		}, 0, "b"},
		{"its failure domain is evacuated, and the evacuation ends", func(r *Roster) {
			r.SetEvacuated(start, ryeford.Evacuations{Revision: 2, Orders: []ryeford.Evacuation{{FailureDomain: "", State: 2}}})
			r.SetEvacuated(start, ryeford.Evacuations{Revision: 4})
		}, 0, "b"},
		{"it restarts", func(r *Roster) {
			r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{ready(second)}}, noSuspects)
		}, 0, second + "b"},
		{"it restarts, and a restored source has the earlier incarnation", func(r *Roster) {
			r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{ready(second)}}, noSuspects)
			r.Apply(start, snapshot(revisionOf(2, 1), withSequence(ready(first), 5), ready("b")), noSuspects)
		}, 2 * withholdDuration, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New()
			r.Apply(start, snapshot(revisionOf(1, 2), withSequence(ready(first), 5), ready("b")), noSuspects)
			assert.Assert(t, r.MarkLeaving(start, ryeford.EndpointID(first)))
			assert.Assert(t, !r.MarkLeaving(start, ryeford.EndpointID(first)), "a repeated report is not new")
			assert.Equal(t, serving(r), "b")
			test.then(r)
			r.Expire(start.Add(test.later))
			assert.Equal(t, serving(r), test.want)
		})
	}
}

// TestMarkLeavingUnlisted checks that the report of an endpoint that is not listed yet applies once it is
// listed.
func TestMarkLeavingUnlisted(t *testing.T) {
	r := New()
	r.MarkLeaving(start, "a")
	r.Apply(start, snapshot(1, ready("a"), ready("b")), noSuspects)
	assert.Equal(t, serving(r), "b")
}

// TestMarkLeavingBound checks that the number of records is bounded, and that the oldest records of unlisted
// endpoints are evicted first.
func TestMarkLeavingBound(t *testing.T) {
	r := New()
	r.Apply(start, snapshot(1, ready("a"), ready("b")), noSuspects)
	r.MarkLeaving(start, "a")
	for i := range 2 * maxLeaving {
		r.MarkLeaving(start.Add(time.Duration(i)*time.Second), ryeford.EndpointID(fmt.Sprintf("gone-%d", i)))
	}
	assert.Assert(t, len(r.leaving) <= maxLeaving, "%d", len(r.leaving))
	r.Apply(start, snapshot(2, ready("a"), ready("b")), noSuspects)
	assert.Equal(t, serving(r), "b")
	_, hasFirst := r.leaving["gone-0"]
	_, hasLast := r.leaving[ryeford.EndpointID(fmt.Sprintf("gone-%d", 2*maxLeaving-1))]
	assert.Assert(t, !hasFirst && hasLast)
}

// TestRecentlyLeaving checks that peers are notified only of endpoints that were recorded as leaving recently,
// the latest first, each once.
func TestRecentlyLeaving(t *testing.T) {
	r := New()
	r.Apply(start, snapshot(1, ready("a"), ready("b")), noSuspects)
	assert.Equal(t, len(r.RecentlyLeaving(start, 2)), 0)
	for i, id := range []ryeford.EndpointID{"a", "b", "c"} {
		r.MarkLeaving(start.Add(time.Duration(i)*time.Second), id)
	}
	assert.DeepEqual(t, r.RecentlyLeaving(start.Add(2*time.Second), 2), []ryeford.EndpointID{"c", "b"})
	assert.DeepEqual(t, r.RecentlyLeaving(start.Add(leavingGossipWindow), 8), []ryeford.EndpointID{"c", "b", "a"})
	r.MarkLeaving(start.Add(leavingGossipWindow), "a") // a delayed report from a peer
	assert.DeepEqual(t, r.RecentlyLeaving(start.Add(leavingGossipWindow+1), 8), []ryeford.EndpointID{"c", "b"})
	assert.Equal(t, len(r.RecentlyLeaving(start.Add(time.Hour), 8)), 0)
	assert.DeepEqual(t, r.LeavingSince(time.Time{}, 8), []ryeford.EndpointID{"c", "b", "a"})
	assert.Equal(t, serving(r), "")
}
