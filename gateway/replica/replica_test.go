package replica

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// endpoints returns ready endpoints with the given IDs.
func endpoints(ids ...ryeford.EndpointID) []ryeford.Endpoint {
	var list []ryeford.Endpoint
	for _, id := range ids {
		list = append(list, ryeford.Endpoint{ID: id})
	}
	return list
}

// listed returns the sorted IDs of a copy.
func (r *Replica) listed() []ryeford.EndpointID {
	return slices.Sorted(maps.Keys(r.entries))
}

// newSynced returns a copy with the endpoints a, b and c at revision 10.
func newSynced(t *testing.T) *Replica {
	t.Helper()
	r := New()
	c := FromSource(&ryeford.EndpointUpdate{Snapshot: true, Present: endpoints("a", "b", "c"), Revision: 10, NewestChange: 4}, 0)
	assert.Equal(t, r.Apply(&c), Applied)
	return r
}

// TestApply checks that older changes, and changes after a gap, are not applied.
func TestApply(t *testing.T) {
	draining := ryeford.Endpoint{ID: "a", State: ryeford.EndpointDraining}
	for _, test := range []struct {
		name    string
		changes Changes
		result  ApplyResult
		at      Range
		listed  string
	}{
		{"nothing new", FromSource(&ryeford.EndpointUpdate{Revision: 15}, 10), Applied, Range{10, 15}, "abc"},
		{"a change", FromSource(&ryeford.EndpointUpdate{Present: endpoints("d"), Revision: 15, NewestChange: 12}, 10), Applied, Range{12, 15}, "abcd"},
		{"a change of a listed endpoint", FromSource(&ryeford.EndpointUpdate{Present: []ryeford.Endpoint{draining}, Revision: 15, NewestChange: 12}, 10), Applied, Range{12, 15}, "abc"},
		{"a removal without its revision", FromSource(&ryeford.EndpointUpdate{Removed: []ryeford.EndpointID{"b"}, Revision: 15}, 10), Applied, Range{15, 15}, "ac"},
		{"read since an older revision", FromSource(&ryeford.EndpointUpdate{Present: endpoints("c"), Revision: 15, NewestChange: 9}, 5), Applied, Range{10, 15}, "abc"},
		{"older", FromSource(&ryeford.EndpointUpdate{Removed: []ryeford.EndpointID{"b"}, Revision: 9}, 5), Outdated, Range{10, 10}, "abc"},
		{"after a gap", FromSource(&ryeford.EndpointUpdate{Present: endpoints("d"), Revision: 15}, 11), Gap, Range{10, 10}, "abc"},
		{"a snapshot, unchanged", FromSource(&ryeford.EndpointUpdate{Snapshot: true, Present: endpoints("a", "b", "c"), Revision: 15}, 0), Applied, Range{10, 15}, "abc"},
		{"a snapshot, changed", FromSource(&ryeford.EndpointUpdate{Snapshot: true, Present: endpoints("a", "d"), Revision: 15}, 0), Applied, Range{15, 15}, "ad"},
		{"a snapshot, older", FromSource(&ryeford.EndpointUpdate{Snapshot: true, Present: endpoints("a"), Revision: 9}, 0), Outdated, Range{10, 10}, "abc"},
	} {
		r := newSynced(t)
		assert.Equal(t, r.Apply(&test.changes), test.result, test.name)
		assert.Equal(t, r.Range(), test.at, test.name)
		text := ""
		for _, id := range r.listed() {
			text += string(id)
		}
		assert.Equal(t, text, test.listed, test.name)
	}
}

// TestSince checks that a peer is sent all changes since its revision, or a snapshot if they are no longer
// available.
func TestSince(t *testing.T) {
	r := newSynced(t)
	for _, update := range []ryeford.EndpointUpdate{
		{Present: endpoints("d"), Revision: 20, NewestChange: 18},
		{Removed: []ryeford.EndpointID{"b"}, Revision: 30, NewestChange: 28},
	} {
		c := FromSource(&update, r.Range().To)
		assert.Equal(t, r.Apply(&c), Applied)
	}
	for _, test := range []struct {
		since    ryeford.Revision
		snapshot bool
		present  int
		removed  int
	}{{5, true, 3, 0}, {10, false, 1, 1}, {17, false, 1, 1}, {18, false, 0, 1}, {28, false, 0, 0}, {40, false, 0, 0}} {
		c := r.Since(test.since)
		assert.Equal(t, c.Snapshot, test.snapshot, "%d", test.since)
		assert.Equal(t, len(c.Present), test.present, "%d", test.since)
		assert.Equal(t, len(c.Removed), test.removed, "%d", test.since)
		assert.Equal(t, c.Range, Range{28, 30})
	}
	peer := newSynced(t)
	c := r.Since(peer.Range().To)
	assert.Equal(t, peer.Apply(&c), Applied)
	assert.DeepEqual(t, peer.listed(), r.listed())
	assert.Equal(t, peer.Range(), r.Range())
}

// TestRemovalsDropped checks that a peer that may lack dropped removals is sent a snapshot.
func TestRemovalsDropped(t *testing.T) {
	r := newSynced(t)
	for revision := ryeford.Revision(11); revision <= 11+maxRemoved; revision++ {
		c := FromSource(&ryeford.EndpointUpdate{Removed: []ryeford.EndpointID{ryeford.EndpointID(string(rune(revision)))}, Revision: revision}, revision-1)
		assert.Equal(t, r.Apply(&c), Applied)
	}
	assert.Assert(t, r.Since(10).Snapshot)
	assert.Assert(t, !r.Since(r.Range().To).Snapshot)
	assert.Assert(t, len(r.removed) <= maxRemoved)
}

// TestMergeRange checks the relation of a peer's copy to the local one, and the range of the local one
// afterwards.
func TestMergeRange(t *testing.T) {
	for _, test := range []struct {
		name        string
		local, peer Range
		want        Relation
		after       Range
	}{
		{"the same revisions", Range{10, 20}, Range{10, 20}, Same, Range{10, 20}},
		{"the peer has a later confirmation", Range{10, 20}, Range{10, 30}, Same, Range{10, 30}},
		{"the peer read a snapshot later, without changes", Range{10, 20}, Range{15, 30}, Same, Range{10, 30}},
		{"the peer has an earlier bound on the newest change", Range{15, 20}, Range{10, 30}, Same, Range{10, 30}},
		{"the peer lags, without changes", Range{10, 20}, Range{10, 12}, Same, Range{10, 20}},
		{"the peer has a newer change", Range{10, 20}, Range{21, 30}, Newer, Range{10, 20}},
		{"the peer lacks a change", Range{10, 20}, Range{5, 9}, Older, Range{10, 20}},
		{"the peer has not read the list", Range{10, 20}, Range{}, Older, Range{10, 20}},
		{"the local copy has not been read", Range{}, Range{5, 9}, Newer, Range{}},
		{"neither copy has been read", Range{}, Range{}, Same, Range{}},
	} {
		r := New()
		r.at = test.local
		assert.Equal(t, r.MergeRange(test.peer), test.want, test.name)
		assert.Equal(t, r.Range(), test.after, test.name)
	}
}
