package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSchedule checks the age at which each router reads the source, and how long the source holds the
// read.
func TestSchedule(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name        string
		bound, hold time.Duration
		rank, peers int
		want        ReadSchedule
	}{
		{"the first, a bound of 2 s", 2 * time.Second, 0, 0, 9, ReadSchedule{Hold: 700 * ms}},
		{"the second", 2 * time.Second, 0, 1, 9, ReadSchedule{Age: 1015 * ms}},
		{"the third of ten", 2 * time.Second, 0, 2, 9, ReadSchedule{Age: 1440 * ms}},
		{"the last of ten", 2 * time.Second, 0, 9, 9, ReadSchedule{Age: 1580 * ms}},
		{"the first, a bound of 4 s", 4 * time.Second, 0, 0, 102, ReadSchedule{Hold: 2100 * ms}},
		{"the second", 4 * time.Second, 0, 1, 102, ReadSchedule{Age: 2415 * ms}},
		{"the last of 103", 4 * time.Second, 0, 102, 102, ReadSchedule{Age: 3196 * ms}},
		{"an isolated router", 4 * time.Second, 0, 0, 0, ReadSchedule{Hold: 2100 * ms}},
		{"the first, with a configured hold", 2 * time.Second, 100 * ms, 0, 9, ReadSchedule{Hold: 100 * ms}},
		{"the third, with a hold as long as the bound", 2 * time.Second, 2 * time.Second, 2, 9, ReadSchedule{Age: 2740 * ms}},
		{"the first, with a short bound", 200 * ms, 0, 0, 9, ReadSchedule{Hold: 100 * ms}},
	} {
		limits := NewLimits(test.bound, test.hold)
		got := limits.Schedule(test.rank, test.peers)
		assert.Equal(t, got.Age.Round(ms), test.want.Age, test.name)
		assert.Equal(t, got.Hold, test.want.Hold, test.name)
	}
}

// TestScheduleWithinBound checks that each router reads within the bound for any bound and fleet size, and
// that a router of a higher rank reads later.
func TestScheduleWithinBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, time.Minute} {
		limits := NewLimits(bound, 0)
		for _, peers := range []int{0, 1, 9, 102, 389} {
			last := time.Duration(-1)
			for rank := range peers + 1 {
				scheduled := limits.Schedule(rank, peers)
				assert.Assert(t, scheduled.Age > last)
				last = scheduled.Age
				assert.Assert(t, scheduled.Age+scheduled.Hold <= bound*4/5, "%s: %s", bound, scheduled.Age)
			}
		}
	}
}

// TestOutage checks that the failure of one reading router does not count as an outage.
func TestOutage(t *testing.T) {
	limits := NewLimits(2*time.Second, 0)
	assert.Assert(t, !limits.Outage(limits.Schedule(1, 9).Age+50*time.Millisecond), "the second router takes over")
	assert.Assert(t, limits.Outage(limits.Schedule(2, 9).Age))
}

// TestMaxPause checks that the pause limits a fleet to 50 reads per second in an outage.
func TestMaxPause(t *testing.T) {
	const least = 400 * time.Millisecond
	assert.Equal(t, MaxPause(least, 0), least)
	assert.Equal(t, MaxPause(least, 19), least)
	assert.Equal(t, MaxPause(least, 99), 2*time.Second)
	assert.Equal(t, MaxPause(least, 389), 7800*time.Millisecond)
}

// TestStartDelay checks that few of the routers that start together draw a short delay.
func TestStartDelay(t *testing.T) {
	const spread = 400 * time.Millisecond
	short := 0
	for i := range 100 {
		delay := StartDelay(spread, float64(i)/100)
		assert.Assert(t, delay >= 0 && delay < spread)
		if delay < spread/2 {
			short++
		}
	}
	assert.Equal(t, short, 5)
	assert.Equal(t, StartDelay(spread, 1), spread)
	assert.Equal(t, StartDelay(0, 0.5), time.Duration(0))
}
