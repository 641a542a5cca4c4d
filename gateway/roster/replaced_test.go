package roster

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// listed returns a ready endpoint with an address, of an incarnation that started at a time in Unix milliseconds
// (zero if unknown) and wrote its entry at a revision.
func listed(name, address string, started int64, written ryeford.Revision) ryeford.Endpoint {
	return ryeford.Endpoint{
		ID: ryeford.NewEndpointID(name, started), Service: "s", Address: netip.MustParseAddrPort(address), Written: written,
	}
}

// TestReplaced guards against requests to an endpoint whose address belongs to a later one, and against an entry
// that stops a live endpoint from being used because of a clock, a late write or an entry of something else.
func TestReplaced(t *testing.T) {
	const here, there = "10.0.0.1:80", "10.0.0.2:80"
	ofService := func(endpoint ryeford.Endpoint, service string) ryeford.Endpoint {
		endpoint.Service = service
		return endpoint
	}
	for _, test := range []struct {
		name   string
		listed []ryeford.Endpoint
		want   string // names of the endpoints that serve
	}{
		{"started and written later", []ryeford.Endpoint{listed("a", here, 1000, 5), listed("b", here, 2000, 6)}, "b"},
		{"the order of the list doesn't matter", []ryeford.Endpoint{listed("b", here, 2000, 6), listed("a", here, 1000, 5)}, "b"},
		{"three of them", []ryeford.Endpoint{listed("c", here, 3000, 9), listed("a", here, 1000, 5), listed("b", here, 2000, 6)}, "c"},
		{"other addresses", []ryeford.Endpoint{listed("a", here, 1000, 5), listed("b", there, 2000, 6)}, "ab"},
		{"another service", []ryeford.Endpoint{listed("a", here, 1000, 5), ofService(listed("b", here, 2000, 6), "other")}, "a"},
		{"a clock that stepped back", []ryeford.Endpoint{listed("a", here, 2000, 5), listed("b", here, 1000, 6)}, "ab"},
		{"a late write of the earlier one", []ryeford.Endpoint{listed("a", here, 1000, 7), listed("b", here, 2000, 6)}, "ab"},
		{"the same entry under two names", []ryeford.Endpoint{listed("a", here, 1000, 5), listed("b", here, 1000, 6)}, "ab"},
		{"start of the later one unknown", []ryeford.Endpoint{listed("a", here, 1000, 5), listed("b", here, 0, 6)}, "ab"},
		{"start of the earlier one unknown", []ryeford.Endpoint{listed("a", here, 0, 5), listed("b", here, 2000, 6)}, "ab"},
		{"revisions unknown", []ryeford.Endpoint{listed("a", here, 1000, 0), listed("b", here, 2000, 0)}, "ab"},
	} {
		r := New()
		r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 9, Present: test.listed}, noSuspects)
		got := ""
		for _, entry := range r.Serving("s") {
			got += string(entry.ID.Name())
		}
		assert.Equal(t, got, test.want, test.name)
		assert.Equal(t, r.Accepting("s"), len(test.want), test.name)
	}
}

// TestReplacedExcluded checks that a replaced endpoint accepts no request that is about to be sent, and accepts
// requests again once the later endpoint has left the list or its address has responded as another one.
func TestReplacedExcluded(t *testing.T) {
	earlier, later := listed("a", "10.0.0.1:80", 1000, 1), listed("b", "10.0.0.1:80", 2000, 2)
	for _, test := range []struct {
		name string
		end  func(r *Roster)
	}{
		{"removed", func(r *Roster) {
			r.Apply(start, &ryeford.EndpointUpdate{Revision: 3, Removed: []ryeford.EndpointID{"b"}}, noSuspects)
			r.Expire(start.Add(2 * departedTTL))
		}},
		{"misdirected", func(r *Roster) { r.MarkMisdirected(later.ID) }},
	} {
		r := New()
		r.Apply(start, &ryeford.EndpointUpdate{Snapshot: true, Revision: 1, Present: []ryeford.Endpoint{earlier}}, noSuspects)
		r.Apply(start, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{later}}, noSuspects)
		assert.Assert(t, !r.Entry(earlier.ID).Accepts() && r.Entry(later.ID).Accepts(), test.name)
		r.Apply(start, &ryeford.EndpointUpdate{Revision: 2, Present: []ryeford.Endpoint{earlier}}, noSuspects)
		assert.Assert(t, !r.Entry(earlier.ID).Accepts(), "%s: heartbeat of the entry", test.name)
		test.end(r)
		assert.Assert(t, r.Entry(earlier.ID).Accepts(), test.name)
	}
}
