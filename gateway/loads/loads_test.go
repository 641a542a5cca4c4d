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
// requests, which are exact, plus an estimate of the others'.
func TestEstimate(t *testing.T) {
	for _, test := range []struct {
		name      string
		known     Observation
		want      float64
		deviation float64
	}{
		{"no data", Observation{}, 0, 0.5},
		{"local requests only", Observation{Local: 3}, 3, 0.5},
		{"all peers have reported", Observation{Local: 3, PeerRequests: 4, PeerShare: 1, Mean: 9}, 7, 0},
		{"all peers have reported, and override an endpoint status report", Observation{Local: 3, PeerRequests: 4, PeerShare: 1, Reported: true, Others: 90}, 7, 0},
		{"no peers: the endpoint status report", Observation{Reported: true, Others: 8}, 8, 0.5},
		{"no peers: a report one half-life old", Observation{Reported: true, Others: 8, Age: reportHalfLife}, 4, 3.5},
		{"no peers: a report one hour old", Observation{Local: 1, Reported: true, Others: 8, Age: time.Hour}, 1, 4.031},
		{"the mean only", Observation{Local: 1, Mean: 5}, 6, 3.202},
		{"a report that decays toward the mean", Observation{Mean: 5, Reported: true, Others: 13, Age: reportHalfLife}, 9, 4.444},
		{"a tenth of the peers have reported: close to the mean", Observation{PeerRequests: 1, PeerShare: 0.1, Mean: 5}, 5.510, 3.034},
		{"a tenth of the peers have reported, and none has requests there", Observation{PeerShare: 0.1, Mean: 5}, 4.0766, 2.891},
		{"half of the peers have reported many requests", Observation{PeerRequests: 20, PeerShare: 0.5, Mean: 5}, 12.104, 2.858},
		{"a new report beside a tenth of the peers", Observation{PeerRequests: 3, PeerShare: 0.1, Mean: 5, Reported: true, Others: 12}, 12.0166, 0.4998},
	} {
		requests, deviation := test.known.Estimate()
		assert.Assert(t, math.Abs(requests-test.want) < 0.001, "%s: %g", test.name, requests)
		assert.Assert(t, math.Abs(deviation-test.deviation) < 0.001, "%s: %g", test.name, deviation)
	}
}

// TestObserve checks what is known of an endpoint from its status reports.
func TestObserve(t *testing.T) {
	now := time.Unix(1000, 0)
	hash := route.NameHash("a")
	for _, test := range []struct {
		name string
		play func(table *Table)
		want Observation
	}{
		{"nothing", func(*Table) {}, Observation{}},
		{"local requests", func(table *Table) { table.Begin("a", "s") }, Observation{Local: 1}},
		{"a report includes local requests", func(table *Table) {
			table.Begin("a", "s")
			table.Report(now, "a", &ryeford.EndpointLoad{Running: 3, Waiting: 2})
		}, Observation{Local: 1, Reported: true, Others: 4}},
		{"local requests have ended since", func(table *Table) {
			table.Begin("a", "s")
			table.Report(now.Add(-time.Second), "a", &ryeford.EndpointLoad{Running: 3})
			table.End("a")
		}, Observation{Reported: true, Others: 2, Age: time.Second}},
		{"more local requests than reported", func(table *Table) {
			table.Begin("a", "s")
			table.Begin("a", "s")
			table.Report(now, "a", &ryeford.EndpointLoad{Running: 1})
		}, Observation{Local: 2, Reported: true}},
		{"an endpoint that reports nothing", func(table *Table) { table.Report(now, "a", nil) }, Observation{}},
		{"a report from a peer", func(table *Table) {
			table.Merge(now, []peers.Report{{Endpoint: Key(hash), Requests: 7, Age: 300 * time.Millisecond}})
		},
			Observation{Reported: true, Others: 7, Age: 300 * time.Millisecond}},
		{"a report from a peer, older than the local one", func(table *Table) {
			table.Report(now.Add(-100*time.Millisecond), "a", &ryeford.EndpointLoad{Running: 3})
			table.Merge(now, []peers.Report{{Endpoint: Key(hash), Requests: 7, Age: 300 * time.Millisecond}})
		}, Observation{Reported: true, Others: 3, Age: 100 * time.Millisecond}},
		{"a report from a peer, newer than the local one", func(table *Table) {
			table.Report(now.Add(-500*time.Millisecond), "a", &ryeford.EndpointLoad{Running: 3})
			table.Merge(now, []peers.Report{{Endpoint: Key(hash), Requests: 7, Age: 300 * time.Millisecond}})
		}, Observation{Reported: true, Others: 7, Age: 300 * time.Millisecond}},
		{"a report from a peer that has expired", func(table *Table) {
			table.Merge(now, []peers.Report{{Endpoint: Key(hash), Requests: 7, Age: reportTTL}})
		},
			Observation{}},
		{"removed", func(table *Table) {
			table.Begin("a", "s")
			table.Report(now, "a", &ryeford.EndpointLoad{Running: 3})
			table.Remove("a")
		}, Observation{}},
	} {
		table := New()
		test.play(table)
		assert.Equal(t, table.Observe(now, "a", hash), test.want, test.name)
	}
}

// TestReports guards against forwarding old reports, and against leaving out the newest ones of high loads.
func TestReports(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	var received []peers.Report
	for i := range uint32(40) {
		report := peers.Report{Endpoint: i, Requests: 1, Age: time.Duration(i) * 10 * time.Millisecond}
		if i%4 == 0 {
			report.Requests = 20
		}
		received = append(received, report)
	}
	received = append(received, peers.Report{Endpoint: 99, Requests: 50, Age: forwardTTL + 1})
	table.Merge(now, received)
	forwarded := table.Reports(now, 4, 6)
	assert.Equal(t, len(forwarded), 10)
	for i, report := range forwarded {
		if i < 4 {
			assert.Equal(t, report, received[4*i], "newest reports of high loads")
			continue
		}
		assert.Equal(t, report, received[report.Endpoint])
		assert.Equal(t, report.Requests, 1)
	}
	assert.Equal(t, len(table.Reports(now, 100, 100)), 40)
	assert.Equal(t, len(table.Reports(now.Add(time.Minute), 100, 100)), 0)
	assert.Equal(t, len(table.reports), 0, "expired reports are dropped")
}

// TestLocal checks which of this router's requests are sent to peers: those at all endpoints or
// only at those that do not report their load, and the totals by service.
func TestLocal(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New()
	table.Begin("a", "s")
	table.Begin("a", "s")
	table.Begin("b", "s")
	table.End("b")
	table.End("c")
	table.Begin("d", "s")
	table.Report(now, "d", &ryeford.EndpointLoad{Running: 1})
	totals, local := table.Local(false)
	assert.DeepEqual(t, local, []peers.Load{{Endpoint: "a", Requests: 2}})
	assert.Equal(t, len(totals), 1)
	assert.Equal(t, totals[0].Requests, 3)
	_, local = table.Local(true)
	assert.Equal(t, len(local), 2)
	table.Remove("a")
	table.Remove("d")
	totals, local = table.Local(true)
	assert.Equal(t, len(local)+len(totals), 0)
}

// TestDemands checks which prompts are sent to peers: the most frequent ones first.
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
	assert.Equal(t, table.LocalPrompt(2), 1)
	table.EndPrompt(2)
	assert.Equal(t, table.LocalPrompt(2), 0)
}

// TestLocalTotal guards against a wrong total of a service if an endpoint is removed while it has
// requests in flight.
func TestLocalTotal(t *testing.T) {
	table := New()
	for range 3 {
		table.Begin("a", "s")
	}
	table.Begin("b", "s")
	table.Begin("c", "other")
	assert.Equal(t, table.LocalTotal("s"), 4)
	table.End("a")
	assert.Equal(t, table.LocalTotal("s"), 3)
	table.Remove("a")
	table.End("a") // requests that were in flight at the removal
	table.End("a")
	assert.Equal(t, table.LocalTotal("s"), 1)
	assert.Equal(t, table.LocalTotal("other"), 1)
	table.End("b")
	assert.Equal(t, table.LocalTotal("s"), 0)
}
