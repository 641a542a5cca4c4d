package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var start = time.Unix(1000, 0)

// noSuspects makes Apply treat no removed endpoint as suspect.
var noSuspects time.Time

func ready(id string) ryeford.Endpoint {
	return ryeford.Endpoint{ID: ryeford.EndpointID(id), Service: "s"}
}

func draining(id string) ryeford.Endpoint {
	e := ready(id)
	e.State = ryeford.EndpointDraining
	return e
}

// serving returns the concatenated IDs of the endpoints that accept requests.
func serving(r *Roster) string {
	names := ""
	for _, entry := range r.Serving("s") {
		names += string(entry.ID)
	}
	return names
}

// expired returns the endpoints that Expire removes at a time.
func expired(r *Roster, at time.Time) []ryeford.EndpointID {
	ids, _ := r.Expire(at)
	return ids
}

// TestChanges checks that endpoints join, drain and leave as updates state.
func TestChanges(t *testing.T) {
	r := New()
	assert.Assert(t, !r.Loaded())
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{ready("b"), ready("a")}}, noSuspects)
	assert.Equal(t, serving(r), "ab")
	r.Apply(start, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{draining("a"), ready("c")}}, noSuspects)
	assert.Equal(t, serving(r), "bc")
	assert.Equal(t, len(r.Draining("s")), 1)
	assert.Assert(t, !r.Entry("a").Accepts() && r.Entry("c").Accepts() && !r.Entry("d").Accepts())
	assert.Assert(t, r.Serving("s")[0].FirstSeen.IsZero())
	assert.Equal(t, r.Serving("s")[1].FirstSeen, start)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: 3, Removed: []ryeford.EndpointID{"a", "b"}}, noSuspects)
	assert.Equal(t, serving(r), "c")
	// A delayed update is ignored.
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 2, Present: []ryeford.Endpoint{ready("b")}}, noSuspects)
	assert.Equal(t, serving(r), "c")
}

// TestSuspect checks that ready endpoints missing from a list shortly after an outage are kept as suspect for
// a time, and that draining ones are not.
func TestSuspect(t *testing.T) {
	r := New()
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{ready("a"), ready("b"), draining("d")}}, noSuspects)
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 5}, start.Add(time.Second))
	assert.Equal(t, serving(r), "ab")
	assert.Equal(t, len(r.Draining("s")), 0)
	// A later list has one of them again and does not remove the other.
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 6, Present: []ryeford.Endpoint{ready("b")}}, noSuspects)
	assert.Equal(t, serving(r), "ab")
	assert.Equal(t, len(expired(r, start.Add(time.Second))), 0)
	assert.DeepEqual(t, expired(r, start.Add(time.Second+1)), []ryeford.EndpointID{"a"})
	assert.Equal(t, serving(r), "b")
}

// TestDeparted checks that an endpoint removed from the list without draining accepts no more requests, stays
// available as a source of cached prefixes for a time, and is then removed; one that was draining is removed
// with its entry.
func TestDeparted(t *testing.T) {
	r := New()
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{ready("a"), ready("b"), draining("d")}}, noSuspects)
	change := r.Apply(start, &ryeford.EndpointUpdate{Revision: 2, Removed: []ryeford.EndpointID{"a", "d"}}, noSuspects)
	assert.DeepEqual(t, change.Departed, []ryeford.EndpointID{"a"})
	assert.DeepEqual(t, change.Dropped, []ryeford.EndpointID{"d"})
	assert.Equal(t, serving(r), "b")
	assert.Assert(t, !r.Entry("a").Accepts())
	assert.Equal(t, len(r.Draining("s")), 1)
	assert.Assert(t, r.Has("a") && !r.Has("d"))
	// A full list that lacks it too changes nothing.
	change = r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 3, Present: []ryeford.Endpoint{ready("b")}}, noSuspects)
	assert.Assert(t, change.Empty())
	assert.Equal(t, r.UntilExpiry(start, time.Second), time.Second)
	assert.Equal(t, r.UntilExpiry(start.Add(time.Second), time.Second), departedTTL-time.Second+1)
	assert.Equal(t, len(expired(r, start.Add(departedTTL))), 0)
	assert.DeepEqual(t, expired(r, start.Add(departedTTL+1)), []ryeford.EndpointID{"a"})
	assert.Equal(t, len(r.Draining("s")), 0)
}

// TestSuspectEnds checks that endpoints removed by several lists after an outage are suspect until the same
// time, and that none is suspect if it is removed later or listed again.
func TestSuspectEnds(t *testing.T) {
	r := New()
	until := start.Add(time.Second)
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{ready("a"), ready("b"), ready("c"), ready("d")}}, noSuspects)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: 2, Removed: []ryeford.EndpointID{"a", "b"}}, until)
	r.Apply(until.Add(-1), &ryeford.EndpointUpdate{Revision: 3, Removed: []ryeford.EndpointID{"c"}, Present: []ryeford.Endpoint{ready("b")}}, until)
	assert.Equal(t, serving(r), "abcd")
	change := r.Apply(until, &ryeford.EndpointUpdate{Revision: 4, Removed: []ryeford.EndpointID{"d"}}, until)
	assert.DeepEqual(t, change.Departed, []ryeford.EndpointID{"d"})
	assert.Equal(t, serving(r), "abc")
	assert.Equal(t, r.UntilExpiry(until, time.Minute), time.Duration(1))
	assert.Equal(t, len(expired(r, until.Add(1))), 2)
	assert.Equal(t, serving(r), "b")
}

// TestUnchangedEntry checks that an entry that is written again unchanged changes nothing, including FirstSeen.
func TestUnchangedEntry(t *testing.T) {
	r := New()
	r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1}, noSuspects)
	r.Apply(start, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{ready("a"), draining("d")}}, noSuspects)
	change := r.Apply(start.Add(time.Second), &ryeford.EndpointUpdate{Revision: 3, Present: []ryeford.Endpoint{ready("a"), draining("d")}}, noSuspects)
	assert.Assert(t, change.Empty(), "%+v", change)
	assert.Equal(t, serving(r), "a")
	assert.Equal(t, r.Entry("a").FirstSeen, start)
}
