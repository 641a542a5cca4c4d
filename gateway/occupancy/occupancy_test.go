package occupancy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var start = time.Unix(1000, 0)

// report records a load in table, at an endpoint of 48 slots.
func report(table *Table, at time.Duration, running, waiting int) {
	table.Report(start.Add(at), "s", 48, &ryeford.EndpointLoad{Running: running, Waiting: waiting})
}

// TestFull checks for which reports and local requests a service is full.
func TestFull(t *testing.T) {
	for _, row := range []struct {
		rule    string
		reports [][2]int // running, waiting
		began   int      // local requests that began after the reports
		ended   int
		want    bool
	}{
		{"no data", nil, 0, 0, false},
		{"one report is too few", [][2]int{{48, 99}}, 0, 0, false},
		{"half of the slots are in use", [][2]int{{24, 0}, {24, 0}, {24, 0}}, 0, 0, false},
		{"half of the slots were in use, local requests have doubled", [][2]int{{24, 0}, {24, 0}, {24, 0}}, 10, 0, true},
		{"one endpoint is full, others are not", [][2]int{{48, 20}, {24, 0}, {20, 0}}, 0, 0, false},
		{"one of five reports an implausible load", [][2]int{{9, 1 << 40}, {4, 0}, {5, 0}, {6, 0}, {4, 0}}, 0, 0, false},
		{"all slots are in use", [][2]int{{48, 0}, {48, 0}, {48, 0}}, 0, 0, true},
		{"requests wait", [][2]int{{40, 12}, {48, 2}, {44, 3}}, 0, 0, true},
		{"requests waited, half of the local ones have ended", [][2]int{{40, 12}, {48, 2}, {44, 3}}, 0, 5, false},
	} {
		t.Run(row.rule, func(t *testing.T) {
			table := New()
			for range 10 {
				table.Begin("s")
			}
			for _, r := range row.reports {
				report(table, 0, r[0], r[1])
			}
			for range row.began {
				table.Begin("s")
			}
			for range row.ended {
				table.End("s")
			}
			assert.Equal(t, table.Full(start, "s"), row.want)
			assert.Equal(t, table.Full(start, "other"), false)
		})
	}
}

// TestShareAt checks which share of the requests may be admitted around the load at which a service is full.
func TestShareAt(t *testing.T) {
	for load, want := range map[float64]float64{0: 1, 0.9: 1, 1: 0.5, 1.1: 0, 4: 0} {
		assert.Equal(t, ShareAt(load), want)
	}
}

// TestReports checks that reports without load or slots are ignored, that newer reports have more
// weight, and that old ones have none.
func TestReports(t *testing.T) {
	table := New()
	table.Begin("s")
	table.Report(start, "s", 48, nil)
	table.Report(start, "s", 0, &ryeford.EndpointLoad{Running: 9})
	table.Report(start, "s", 0, &ryeford.EndpointLoad{Running: 9})
	assert.Assert(t, !table.Full(start, "s"))
	for range 4 {
		report(table, 0, 48, 48)
	}
	assert.Assert(t, table.Full(start, "s"))
	for range 4 {
		report(table, time.Second, 10, 0)
	}
	assert.Assert(t, !table.Full(start.Add(time.Second), "s"))
	for range 4 {
		report(table, 2*time.Second, 48, 48)
	}
	assert.Assert(t, !table.Full(start.Add(4*time.Second), "s"), "two seconds later the reports have expired")
}

// TestOverload simulates an overload and checks that rejecting requests lets more requests be answered
// within their goal, both in a small fleet and in a larger one with rare reports, and that nothing is
// rejected below capacity.
func TestOverload(t *testing.T) {
	for _, row := range []struct {
		routers, endpoints int
		load               float64
	}{{4, 18, 0.6}, {4, 18, 1.4}, {4, 18, 2.5}, {30, 55, 0.6}, {30, 55, 1.4}, {30, 55, 2.5}} {
		t.Run(fmt.Sprintf("%d routers, %d endpoints, %v x capacity", row.routers, row.endpoints, row.load), func(t *testing.T) {
			before := simulate(row.routers, row.endpoints, row.load, false)
			after := simulate(row.routers, row.endpoints, row.load, true)
			t.Logf("before: %v", before)
			t.Logf("after:  %v", after)
			if row.load < 1 {
				assert.Assert(t, after.rejected < 0.001)
				return
			}
			assert.Assert(t, after.inTime > before.inTime+0.1)
			assert.Assert(t, after.p99 < before.p99)
		})
	}
}

// BenchmarkFull measures one decision for different numbers of reports.
func BenchmarkFull(b *testing.B) {
	for _, endpoints := range []int{35, 350, 3500} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			table := New()
			for range endpoints {
				table.Begin("s")
				report(table, 0, 48, 48)
			}
			for b.Loop() {
				table.Full(start, "s")
			}
		})
	}
}
