package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOverloads checks how long requests of a service have been refused for overload.
func TestOverloads(t *testing.T) {
	o, now := newOverloads(), time.Unix(1000, 0)
	assert.Equal(t, o.duration(now, "a"), time.Duration(0))
	for range 4 {
		o.add(now, "a")
		now = now.Add(overloadGap)
	}
	assert.Equal(t, o.duration(now, "a"), 4*overloadGap)
	assert.Equal(t, o.duration(now, "b"), time.Duration(0), "another service")
	now = now.Add(1)
	assert.Equal(t, o.duration(now, "a"), time.Duration(0), "no refusal within overloadGap")
	o.add(now, "a")
	assert.Equal(t, o.duration(now.Add(time.Second/2), "a"), time.Second/2, "a new overload")
}
