package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMinResponseTimes checks that a response time counts for at least one window and at most two.
func TestMinResponseTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newMinResponseTimes()
	assert.Equal(t, f.get(now, "s"), time.Duration(0), "no response")
	f.add(now, "s", 30*time.Millisecond)
	f.add(now, "s", 20*time.Millisecond)
	f.add(now, "s", 40*time.Millisecond)
	assert.Equal(t, f.get(now, "s"), 20*time.Millisecond)
	assert.Equal(t, f.get(now, "another"), time.Duration(0))
	now = now.Add(minResponseTimesWindow)
	f.add(now, "s", 25*time.Millisecond)
	assert.Equal(t, f.get(now, "s"), 20*time.Millisecond)
	now = now.Add(minResponseTimesWindow)
	assert.Equal(t, f.get(now, "s"), 25*time.Millisecond, "the first window is over")
	now = now.Add(2 * minResponseTimesWindow)
	assert.Equal(t, f.get(now, "s"), time.Duration(0), "no recent response")
}
