package slowstart

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTimeSlot guards against a time slot that belongs to two routers, against slots at another rate than
// rateShare of the endpoint's, and against slots that stay valid too long.
func TestTimeSlot(t *testing.T) {
	const routers, rate, hash = 5, 8.0, 3
	taken := make(map[int64]int) // router by slot number
	for at := 10 * time.Second; at < 20*time.Second; at += 10 * time.Millisecond {
		for rank := range routers {
			f := Fleet{Clock: at, Rank: rank, Routers: routers}
			if number, valid := f.TimeSlot(hash, rate); valid {
				if owner, ok := taken[number]; ok {
					assert.Equal(t, owner, rank)
				}
				taken[number] = rank
			}
		}
	}
	assert.Assert(t, len(taken) >= 60 && len(taken) <= 64, "%d time slots in 10 s, want %v a second", len(taken), rate*rateShare)
	fleet := Fleet{Clock: 100 * time.Millisecond, Routers: 4}
	number, valid := fleet.TimeSlot(0, rate)
	assert.Assert(t, number == 0 && valid)
	fleet.Clock = slotValidity
	_, valid = fleet.TimeSlot(0, rate)
	assert.Assert(t, !valid)
	empty := Fleet{}
	_, valid = empty.TimeSlot(0, rate)
	assert.Assert(t, !valid)
}

// TestTable checks that a time slot can be taken once, and that earlier ones can't be taken after it.
func TestTable(t *testing.T) {
	table := New()
	assert.Assert(t, table.IsFree("a", 7) && table.Take("a", 7))
	assert.Assert(t, !table.IsFree("a", 7) && !table.Take("a", 7) && !table.Take("a", 6))
	assert.Assert(t, table.Take("b", 6) && table.Take("a", 8))
	table.Remove("a")
	assert.Assert(t, table.Take("a", 7))
}

// FuzzTimeSlot guards against rates and clocks that cause a panic or a valid time slot without routers or
// rate.
func FuzzTimeSlot(f *testing.F) {
	for _, rate := range []float64{0, -1, 1e-300, 1e300, 2e9, math.NaN(), math.Inf(1), math.MaxFloat64, 9.6} {
		f.Add(int64(time.Hour), 3, 27, uint64(12345), rate)
		f.Add(int64(math.MaxInt64), math.MaxInt32, math.MaxInt32, uint64(math.MaxUint64), rate)
	}
	f.Fuzz(func(t *testing.T, clock int64, rank, routers int, hash uint64, rate float64) {
		fleet := Fleet{Clock: time.Duration(clock), Rank: rank, Routers: routers}
		if _, valid := fleet.TimeSlot(hash, rate); valid && (routers <= 0 || !(rate > 0)) {
			t.Fatalf("valid time slot of %+v at %v requests a second", fleet, rate)
		}
	})
}
