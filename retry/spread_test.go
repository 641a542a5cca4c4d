package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestJitter guards against equal retry times, and against times outside of the base and twice the
// base.
func TestJitter(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := Jitter(time.Second)
		assert.Assert(t, d >= time.Second && d < 2*time.Second)
		seen[d] = true
	}
	assert.Assert(t, len(seen) > 50)
}

// TestRandomBetween checks that times are drawn from the interval, and that an empty interval
// yields its start.
func TestRandomBetween(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := RandomBetween(time.Second, 3*time.Second)
		assert.Assert(t, d >= time.Second && d < 3*time.Second)
		seen[d] = true
	}
	assert.Assert(t, len(seen) > 50)
	assert.Equal(t, RandomBetween(time.Second, time.Second), time.Second)
	assert.Equal(t, RandomBetween(0, 0), time.Duration(0))
}
