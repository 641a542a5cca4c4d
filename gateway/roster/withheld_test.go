package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// revisionOf returns the revision with a number in an era.
func revisionOf(era, number int64) ryeford.Revision {
	revision, err := ryeford.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return revision
}

// snapshot returns an update with the full list.
func snapshot(revision ryeford.Revision, endpoints ...ryeford.Endpoint) *ryeford.EndpointUpdate {
	return &ryeford.EndpointUpdate{Snapshot: true, Revision: revision, Present: endpoints}
}

// withSequence returns an endpoint with its sequence set.
func withSequence(e ryeford.Endpoint, sequence int64) ryeford.Endpoint {
	e.Sequence = sequence
	return e
}

// TestWithheld checks that an endpoint recorded as leaving or gone gets no requests after the source was restored
// from an older backup, and that this ends with the withholding period, with a newer entry of the endpoint, and
// for endpoints that left long ago.
func TestWithheld(t *testing.T) {
	for _, test := range []struct {
		name    string
		update  *ryeford.EndpointUpdate // applied after a and b were ready
		after   time.Duration           // from the update to the restore
		backup  []ryeford.Endpoint      // the restored list
		serving string                  // serving right after the restore
		later   string                  // serving after the withholding period
	}{
		{"leaving, ready in an older backup", &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{withSequence(draining("a"), 9)}},
			time.Second, []ryeford.Endpoint{withSequence(ready("a"), 8), ready("b")}, "b", "ab"},
		{"leaving, ready by a newer entry", &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{withSequence(draining("a"), 9)}},
			time.Second, []ryeford.Endpoint{withSequence(ready("a"), 10), ready("b")}, "ab", "ab"},
		{"leaving, also in the backup", &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{withSequence(draining("a"), 9)}},
			time.Second, []ryeford.Endpoint{withSequence(draining("a"), 9), ready("b")}, "b", "b"},
		{"entry removed", &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Removed: []ryeford.EndpointID{"a"}},
			time.Second, []ryeford.Endpoint{withSequence(ready("a"), 50), ready("b")}, "b", "ab"},
		{"entry removed long ago", &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Removed: []ryeford.EndpointID{"a"}},
			departureRecordTTL + time.Second, []ryeford.Endpoint{withSequence(ready("a"), 50), ready("b")}, "ab", "ab"},
		{"never left", &ryeford.EndpointUpdate{Revision: revisionOf(1, 3)},
			time.Second, []ryeford.Endpoint{withSequence(ready("a"), 1), ready("b")}, "ab", "ab"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New()
			r.Apply(start, snapshot(revisionOf(1, 2), withSequence(ready("a"), 5), ready("b")), noSuspects)
			r.Apply(start, test.update, noSuspects)
			r.Expire(start.Add(2 * departedTTL))
			restored := start.Add(test.after)
			r.Apply(restored, snapshot(revisionOf(2, 2), test.backup...), noSuspects)
			assert.Equal(t, serving(r), test.serving)
			expired, released := r.Expire(restored.Add(withholdDuration))
			assert.Equal(t, len(expired), 0)
			assert.Equal(t, len(released), len(test.later)-len(test.serving))
			assert.Equal(t, serving(r), test.later)
		})
	}
}

// TestWithheldNewEntry checks that an endpoint that was gone gets requests once it writes its entry again after a
// restore: only entries from the backup can be out of date.
func TestWithheldNewEntry(t *testing.T) {
	r := New()
	r.Apply(start, snapshot(revisionOf(1, 2), ready("a"), ready("b")), noSuspects)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Removed: []ryeford.EndpointID{"a"}}, noSuspects)
	fromBackup := ready("a")
	fromBackup.Written = revisionOf(2, 1)
	r.Apply(start, snapshot(revisionOf(2, 2), fromBackup, ready("b")), noSuspects)
	assert.Equal(t, serving(r), "b")
	again := ready("a")
	again.Written = revisionOf(2, 3)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(2, 3), Present: []ryeford.Endpoint{again}}, noSuspects)
	assert.Equal(t, serving(r), "ab")

	r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(2, 4), Removed: []ryeford.EndpointID{"b"}}, noSuspects)
	back := ready("b")
	back.Written = revisionOf(2, 5)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(2, 5), Present: []ryeford.Endpoint{back}}, noSuspects)
	assert.Equal(t, serving(r), "ab", "the entry was removed and written again after the restore")
}

// TestWithheldIncarnation checks that a backup with an earlier incarnation of an endpoint doesn't end the current
// one, and that a new incarnation of an endpoint that was leaving gets requests.
func TestWithheldIncarnation(t *testing.T) {
	earlier, later := ready(string(ryeford.NewEndpointID("a", 1))), ready(string(ryeford.NewEndpointID("a", 2)))
	r := New()
	r.Apply(start, snapshot(revisionOf(1, 1), earlier), noSuspects)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 2), Present: []ryeford.Endpoint{later}}, noSuspects)
	until := start.Add(2 * time.Second)
	change := r.Apply(start, snapshot(revisionOf(2, 1), earlier), until)
	assert.DeepEqual(t, change.Suspected, []ryeford.EndpointID{later.ID})
	assert.Assert(t, r.Entry(later.ID).Accepts() && !r.Entry(earlier.ID).Accepts())

	third := ready(string(ryeford.NewEndpointID("a", 3)))
	r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(2, 2), Present: []ryeford.Endpoint{third}}, until)
	assert.Equal(t, serving(r), string(third.ID))
}

// TestWithhold checks that a router that has only the restored list withholds what a peer reports, for the peer's
// remaining time, and passes it on, and that a peer can't extend the withholding period.
func TestWithhold(t *testing.T) {
	informed, restarted := New(), New()
	informed.Apply(start, snapshot(revisionOf(1, 2), withSequence(ready("a"), 5), ready("b")), noSuspects)
	informed.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Present: []ryeford.Endpoint{withSequence(draining("a"), 9)}}, noSuspects)
	fromBackup := snapshot(revisionOf(2, 2), withSequence(ready("a"), 8), ready("b"))
	informed.Apply(start, fromBackup, noSuspects)
	restarted.Apply(start, fromBackup, noSuspects)
	assert.Equal(t, serving(restarted), "ab")

	now := start.Add(time.Second)
	withheld, remaining := informed.Withheld(now, 8)
	assert.DeepEqual(t, withheld, []ryeford.WithheldEndpoint{{ID: "a", Sequence: 9}})
	assert.Equal(t, remaining, withholdDuration-time.Second)
	assert.DeepEqual(t, restarted.Withhold(now, withheld, remaining), []ryeford.EndpointID{"a"})
	assert.Equal(t, len(restarted.Withhold(now, withheld, remaining)), 0, "a repeated report adds nothing")
	assert.Equal(t, serving(restarted), "b")
	passed, _ := restarted.Withheld(now, 8)
	assert.DeepEqual(t, passed, withheld)
	restarted.Expire(now.Add(remaining))
	assert.Equal(t, serving(restarted), "ab")

	restarted.Withhold(now, []ryeford.WithheldEndpoint{{ID: "b", Gone: true}}, time.Hour)
	assert.Equal(t, serving(restarted), "a")
	restarted.Expire(now.Add(withholdDuration))
	assert.Equal(t, serving(restarted), "ab")
}

// TestWithholdOnce checks that delayed messages from peers neither extend nor reopen the withholding period, which
// would withhold a live endpoint without end, and that a report received before the first list applies to it.
func TestWithholdOnce(t *testing.T) {
	r := New()
	r.Apply(start, snapshot(revisionOf(1, 2), ready("a"), ready("b")), noSuspects)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: revisionOf(1, 3), Removed: []ryeford.EndpointID{"a"}}, noSuspects)
	r.Apply(start, snapshot(revisionOf(2, 2), ready("a"), ready("b")), noSuspects)
	withheld, remaining := r.Withheld(start, 8)
	late := start.Add(time.Second)
	r.Withhold(late, withheld, remaining)
	_, remaining = r.Withheld(late, 8)
	assert.Equal(t, remaining, withholdDuration-time.Second, "extended")
	periodEnd := start.Add(withholdDuration)
	r.Expire(periodEnd)
	assert.Equal(t, serving(r), "ab")
	r.Withhold(periodEnd, withheld, withholdDuration)
	assert.Equal(t, serving(r), "ab", "reopened")

	restarted := New()
	restarted.Withhold(start, withheld, withholdDuration)
	restarted.Apply(start, snapshot(revisionOf(2, 2), ready("a"), ready("b")), noSuspects)
	assert.Equal(t, serving(restarted), "b", "received before the first list")
	restarted.Expire(periodEnd)
	assert.Equal(t, serving(restarted), "ab")
}

// TestDepartureBound checks that the number of recorded departures is bounded.
func TestDepartureBound(t *testing.T) {
	r := New()
	for i := range 3 * maxDepartureRecords {
		r.recordGone(start.Add(time.Duration(i)*time.Millisecond), ryeford.EndpointID(fmt.Sprint(i)))
		assert.Assert(t, len(r.departures) <= maxDepartureRecords)
	}
}
