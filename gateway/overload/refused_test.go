package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusals checks how long requests of a service have been refused for overload.
func TestRefusals(t *testing.T) {
	o, now := newRefusals(), time.Unix(1000, 0)
	assert.Equal(t, o.duration(now, "a"), time.Duration(0))
	for range 4 {
		o.add(now, "a")
		now = now.Add(refusalGap)
	}
	assert.Equal(t, o.duration(now, "a"), 4*refusalGap)
	assert.Equal(t, o.duration(now, "b"), time.Duration(0), "another service")
	now = now.Add(1)
	assert.Equal(t, o.duration(now, "a"), time.Duration(0), "no refusal within refusalGap")
	o.add(now, "a")
	assert.Equal(t, o.duration(now.Add(time.Second/2), "a"), time.Second/2, "a new overload")
}
