package rest

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var start = time.Unix(1000, 0)

// TestAsk checks until when an endpoint backs off that asks for it several times.
func TestAsk(t *testing.T) {
	type ask struct{ at, span time.Duration }
	for _, test := range []struct {
		name  string
		asks  []ask
		until time.Duration // since start
	}{
		{"once", []ask{{0, 3 * time.Second}}, 3 * time.Second},
		{"for longer", []ask{{0, 3 * time.Second}, {time.Second, 5 * time.Second}}, 6 * time.Second},
		{"for less", []ask{{0, 3 * time.Second}, {time.Second, time.Second}}, 3 * time.Second},
		{"for less, and longer again", []ask{{0, 3 * time.Second}, {time.Second, time.Millisecond}, {2 * time.Second, 2 * time.Second}}, 4 * time.Second},
		{"again, after the end", []ask{{0, time.Second}, {2 * time.Second, time.Second}}, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := New()
			for i, a := range test.asks {
				begins := table.Ask(start.Add(a.at), "a", a.span)
				assert.Equal(t, begins, i == 0 || test.name == "again, after the end")
			}
			until := start.Add(test.until)
			assert.Equal(t, table.Left(until.Add(-1), "a"), time.Duration(1))
			assert.Equal(t, table.Left(until, "a"), time.Duration(0))
			assert.Equal(t, table.Left(start, "b"), time.Duration(0))
		})
	}
}

// TestExpire checks that an ended back-off is returned once, with the number of refused requests.
func TestExpire(t *testing.T) {
	table := New()
	table.Ask(start, "a", 2*time.Second)
	table.Ask(start.Add(time.Second), "a", time.Second/2)
	table.Ask(start, "b", time.Minute)
	assert.Equal(t, len(table.Expire(start.Add(2*time.Second-1))), 0)
	want := []Rest{{Endpoint: "a", Began: start, Until: start.Add(2 * time.Second), Refused: 2}}
	assert.DeepEqual(t, table.Expire(start.Add(2*time.Second)), want)
	assert.Equal(t, len(table.Expire(start.Add(3*time.Second))), 0)
	assert.Equal(t, table.Len(), 1)
}

// TestBound checks that the memory is bounded, and that the back-off that ends first is evicted
// first.
func TestBound(t *testing.T) {
	table := New()
	table.Ask(start, "first", time.Second)
	for i := range maxRests {
		table.Ask(start, ryeford.EndpointID(fmt.Sprint(i)), time.Minute)
	}
	assert.Equal(t, table.Len(), maxRests)
	assert.Equal(t, table.Left(start, "first"), time.Duration(0))
	assert.Equal(t, table.Left(start, "0"), time.Minute)
}
