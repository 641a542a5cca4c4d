package loads

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/route"
)

// TestEstimate checks the estimate of an endpoint's load and its deviation: this router's
// requests, which are exact, and what is known of the others'.
func TestEstimate(t *testing.T) {
	for _, test := range []struct {
		name      string
		known     Observation
		want      float64
		deviation float64
	}{
		{"nothing is known", Observation{}, 0, 0.5},
		{"own requests only", Observation{Own: 3}, 3, 0.5},
		{"all peers have told", Observation{Own: 3, Peers: 4, Share: 1, Mean: 9}, 7, 0},
		{"all peers have told, and overrule a report", Observation{Own: 3, Peers: 4, Share: 1, Reports: true, Others: 90}, 7, 0},
		{"no peers: the report", Observation{Reports: true, Others: 8}, 8, 0.5},
		{"no peers: a report of one half-life", Observation{Reports: true, Others: 8, Age: reportHalfLife}, 4, 3.5},
		{"no peers: a report of an hour", Observation{Own: 1, Reports: true, Others: 8, Age: time.Hour}, 1, 4.031},
		{"the mean only", Observation{Own: 1, Mean: 5}, 6, 3.202},
		{"a report on its way back to the mean", Observation{Mean: 5, Reports: true, Others: 13, Age: reportHalfLife}, 9, 4.444},
		{"a tenth of the peers have told: close to the mean", Observation{Peers: 1, Share: 0.1, Mean: 5}, 5.510, 3.034},
		{"a tenth of them, and none has requests there", Observation{Share: 0.1, Mean: 5}, 4.0766, 2.891},
		{"half of them, and many are there", Observation{Peers: 20, Share: 0.5, Mean: 5}, 12.104, 2.858},
		{"a new report beside a tenth of the peers", Observation{Peers: 3, Share: 0.1, Mean: 5, Reports: true, Others: 12}, 12.0166, 0.4998},
	} {
		requests, deviation := test.known.Estimate()
		assert.Assert(t, math.Abs(requests-test.want) < 0.001, "%s: %g", test.name, requests)
		assert.Assert(t, math.Abs(deviation-test.deviation) < 0.001, "%s: %g", test.name, deviation)
	}
}

// TestObserve checks what is known of an endpoint that has told its load.
func TestObserve(t *testing.T) {
	now := time.Unix(1000, 0)
	hash := route.NameHash("a")
	for _, test := range []struct {
		name string
		play func(table *Table)
		want Observation
	}{
		{"nothing", func(*Table) {}, Observation{}},
		{"own requests", func(table *Table) { table.Begin("a", "s") }, Observation{Own: 1}},
		{"a report counts own requests too", func(table *Table) {
			table.Begin("a", "s")
			table.Report(now, "a", &ryeford.EndpointLoad{Running: 3, Waiting: 2})
		}, Observation{Own: 1, Reports: true, Others: 4}},
		{"own requests have ended since", func(table *Table) {
			table.Begin("a", "s")
			table.Report(now.Add(-time.Second), "a", &ryeford.EndpointLoad{Running: 3})
			table.End("a")
		}, Observation{Reports: true, Others: 2, Age: time.Second}},
		{"more own requests than reported", func(table *Table) {
			table.Begin("a", "s")
			table.Begin("a", "s")
			table.Report(now, "a", &ryeford.EndpointLoad{Running: 1})
		}, Observation{Own: 2, Reports: true}},
		{"an endpoint that tells nothing", func(table *Table) { table.Report(now, "a", nil) }, Observation{}},
		{"a peer's word", func(table *Table) {
			table.Learn(now, []peers.Report{{Endpoint: Key(hash), Requests: 7, Age: 300 * time.Millisecond}})
		},
			Observation{Reports: true, Others: 7, Age: 300 * time.Millisecond}},
		{"a peer's word is older than the own", func(table *Table) {
			table.Report(now.Add(-100*time.Millisecond), "a", &ryeford.EndpointLoad{Running: 3})
			table.Learn(now, []peers.Report{{Endpoint: Key(hash), Requests: 7, Age: 300 * time.Millisecond}})
		}, Observation{Reports: true, Others: 3, Age: 100 * time.Millisecond}},
		{"a peer's word is newer than the own", func(table *Table) {
			table.Report(now.Add(-500*time.Millisecond), "a", &ryeford.EndpointLoad{Running: 3})
			table.Learn(now, []peers.Report{{Endpoint: Key(hash), Requests: 7, Age: 300 * time.Millisecond}})
		}, Observation{Reports: true, Others: 7, Age: 300 * time.Millisecond}},
		{"a peer's word that is too old", func(table *Table) {
			table.Learn(now, []peers.Report{{Endpoint: Key(hash), Requests: 7, Age: reportTTL}})
		},
			Observation{}},
		{"forgotten", func(table *Table) {
			table.Begin("a", "s")
			table.Report(now, "a", &ryeford.EndpointLoad{Running: 3})
			table.Forget("a")
		}, Observation{}},
	} {
		table := New()
		test.play(table)
		assert.Equal(t, table.Observe(now, "a", hash), test.want, test.name)
	}
}

// TestReports checks which reports are passed on: the newest ones of high loads, some others, and
// none that is old.
func TestReports(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	var learnt []peers.Report
	for i := range uint32(40) {
		report := peers.Report{Endpoint: i, Requests: 1, Age: time.Duration(i) * 10 * time.Millisecond}
		if i%4 == 0 {
			report.Requests = 20
		}
		learnt = append(learnt, report)
	}
	learnt = append(learnt, peers.Report{Endpoint: 99, Requests: 50, Age: passOnTTL + 1})
	table.Learn(now, learnt)
	passed := table.Reports(now, 4, 6)
	assert.Equal(t, len(passed), 10)
	for i, report := range passed {
		if i < 4 {
			assert.Equal(t, report, learnt[4*i], "the newest of the high ones")
			continue
		}
		assert.Equal(t, report, learnt[report.Endpoint])
		assert.Equal(t, report.Requests, 1)
	}
	assert.Equal(t, len(table.Reports(now, 100, 100)), 40)
	assert.Equal(t, len(table.Reports(now.Add(time.Minute), 100, 100)), 0)
	assert.Equal(t, len(table.reports), 0, "old reports take no memory")
}

// TestOwn checks what peers are sent of this router's requests: those at all endpoints that have
// any, or at those that do not report their load, and the totals of services.
func TestOwn(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.Begin("a", "s")
	table.Begin("a", "s")
	table.Begin("b", "s")
	table.End("b")
	table.End("c")
	table.Begin("d", "s")
	table.Report(now, "d", &ryeford.EndpointLoad{Running: 1})
	totals, own := table.Own(false)
	assert.DeepEqual(t, own, []peers.Load{{Endpoint: "a", Requests: 2}})
	assert.Equal(t, len(totals), 1)
	assert.Equal(t, totals[0].Requests, 3)
	_, own = table.Own(true)
	assert.Equal(t, len(own), 2)
	table.Forget("a")
	table.Forget("d")
	totals, own = table.Own(true)
	assert.Equal(t, len(own)+len(totals), 0)
}

// TestDemands checks what peers are sent of the prompts of requests under way: the most frequent
// ones first.
func TestDemands(t *testing.T) {
	table := New()
	for prompt := range uint64(2 * peers.MaxDemands) {
		for range prompt {
			table.BeginPrompt(prompt)
		}
	}
	demands := table.Demands()
	assert.Equal(t, len(demands), peers.MaxDemands)
	for i, demand := range demands {
		assert.Equal(t, demand, peers.Demand{Prompt: uint32(2*peers.MaxDemands - 1 - i), Requests: 2*peers.MaxDemands - 1 - i})
	}
	table.EndPrompt(2)
	assert.Equal(t, table.Prompt(2), 1)
	table.EndPrompt(2)
	assert.Equal(t, table.Prompt(2), 0)
}

// TestTotal checks that a service's total is that of its requests under way, also if an endpoint is
// forgotten while it has some.
func TestTotal(t *testing.T) {
	table := New()
	for range 3 {
		table.Begin("a", "s")
	}
	table.Begin("b", "s")
	table.Begin("c", "other")
	assert.Equal(t, table.Total("s"), 4)
	table.End("a")
	assert.Equal(t, table.Total("s"), 3)
	table.Forget("a")
	table.End("a") // the requests that were under way end later
	table.End("a")
	assert.Equal(t, table.Total("s"), 1)
	assert.Equal(t, table.Total("other"), 1)
	table.End("b")
	assert.Equal(t, table.Total("s"), 0)
}
