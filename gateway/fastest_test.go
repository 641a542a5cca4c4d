package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFastest checks that the least time of a service's responses counts for at least a
// window, and for at most two.
func TestFastest(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFastest()
	assert.Equal(t, f.get(now, "s"), time.Duration(0), "none is known")
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
	assert.Equal(t, f.get(now, "s"), time.Duration(0), "no response lately")
}
