package loads

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
)

// TestEstimate checks the estimate of an endpoint's load: this router's requests, and
// those of other routers, which are known from the peers or else from the endpoint's
// last report.
func TestEstimate(t *testing.T) {
	const id = "a"
	for _, test := range []struct {
		name       string
		ownThen    int           // requests under way when the report came
		reported   int           // running and waiting then; -1 for no report
		age        time.Duration // of the report
		own        int           // requests under way now
		peers      float64
		peersKnown bool
		want       float64
	}{
		{name: "nothing is known", reported: -1, want: 0},
		{name: "own requests only", reported: -1, own: 3, want: 3},
		{name: "own and peers' requests", reported: -1, own: 3, peers: 4.5, peersKnown: true, want: 7.5},
		{name: "peers overrule the report", reported: 90, own: 3, peers: 4.5, peersKnown: true, want: 7.5},
		{name: "peers without requests there", reported: 90, own: 3, peersKnown: true, want: 3},
		{name: "without peers, the report", reported: 8, own: 0, want: 8},
		{name: "the report counts own requests too", ownThen: 2, reported: 8, own: 2, want: 8},
		{name: "own requests have ended since", ownThen: 2, reported: 8, own: 0, want: 6},
		{name: "more own requests than reported", ownThen: 9, reported: 8, own: 9, want: 9},
		{name: "a report of one half-life", reported: 8, age: 1500 * time.Millisecond, want: 8},
		{name: "a report older than one half-life", reported: 8, age: 1501 * time.Millisecond, want: 4},
		{name: "a report older than two", reported: 8, age: 3001 * time.Millisecond, own: 1, want: 3},
		{name: "a report of an hour", reported: 8, age: time.Hour, own: 1, want: 1 + 8.0/128},
	} {
		table := New()
		now := time.Unix(1000, 0)
		for range test.ownThen {
			table.Begin(id)
		}
		if test.reported >= 0 {
			table.Report(now.Add(-test.age), id, &ryeford.EndpointLoad{Running: test.reported})
		}
		for range test.ownThen {
			table.End(id)
		}
		for range test.own {
			table.Begin(id)
		}
		load := table.Estimate(now, id, test.peers, test.peersKnown)
		assert.Equal(t, load, test.want, test.name)
	}
}

// TestOwn checks that only endpoints with requests under way are reported to peers,
// and that a forgotten one is not.
func TestOwn(t *testing.T) {
	table := New()
	table.Begin("a")
	table.Begin("a")
	table.Begin("b")
	table.End("b")
	table.End("c")
	assert.DeepEqual(t, table.Own(), []peers.Load{{Endpoint: "a", Requests: 2}})
	table.Forget("a")
	assert.Equal(t, len(table.Own()), 0)
}
