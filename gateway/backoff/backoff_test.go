package backoff

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var start = time.Unix(1000, 0)

// TestStart checks until when an endpoint backs off that asks for it several times.
func TestStart(t *testing.T) {
	type call struct{ at, duration time.Duration }
	for _, test := range []struct {
		name  string
		calls []call
		until time.Duration // since start
	}{
		{"once", []call{{0, 3 * time.Second}}, 3 * time.Second},
		{"for longer", []call{{0, 3 * time.Second}, {time.Second, 5 * time.Second}}, 6 * time.Second},
		{"for less", []call{{0, 3 * time.Second}, {time.Second, time.Second}}, 3 * time.Second},
		{"for less, and longer again", []call{{0, 3 * time.Second}, {time.Second, time.Millisecond}, {2 * time.Second, 2 * time.Second}}, 4 * time.Second},
		{"again, after the end", []call{{0, time.Second}, {2 * time.Second, time.Second}}, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			for i, a := range test.calls {
				started := table.Start(start.Add(a.at), "a", a.duration)
				assert.Equal(t, started, i == 0 || test.name == "again, after the end")
			}
			until := start.Add(test.until)
			assert.Equal(t, table.Remaining(until.Add(-1), "a"), time.Duration(1))
			assert.Equal(t, table.Remaining(until, "a"), time.Duration(0))
			assert.Equal(t, table.Remaining(start, "b"), time.Duration(0))
		})
	}
}

// TestExpire checks that an ended back-off is returned once, with the number of refused requests.
func TestExpire(t *testing.T) {
	table := New()
	table.Start(start, "a", 2*time.Second)
	table.Start(start.Add(time.Second), "a", time.Second/2)
	table.Start(start, "b", time.Minute)
	assert.Equal(t, len(table.Expire(start.Add(2*time.Second-1))), 0)
	want := []Period{{Endpoint: "a", Began: start, Until: start.Add(2 * time.Second), Refused: 2}}
	assert.DeepEqual(t, table.Expire(start.Add(2*time.Second)), want)
	assert.Equal(t, len(table.Expire(start.Add(3*time.Second))), 0)
	assert.Equal(t, table.Len(), 1)
}

// TestMaxPeriods checks that the memory is bounded, and that the back-off that ends first is evicted
// first.
func TestMaxPeriods(t *testing.T) {
	table := New()
	table.Start(start, "first", time.Second)
	for i := range maxPeriods {
		table.Start(start, ryeford.EndpointID(fmt.Sprint(i)), time.Minute)
	}
	assert.Equal(t, table.Len(), maxPeriods)
	assert.Equal(t, table.Remaining(start, "first"), time.Duration(0))
	assert.Equal(t, table.Remaining(start, "0"), time.Minute)
}
