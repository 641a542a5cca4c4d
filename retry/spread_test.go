package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSpread checks that the Retry-After of refused callers differ: each is at least the
// minimum, and less than twice it.
func TestSpread(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for range 100 {
		d := Spread(time.Second)
		assert.Assert(t, d >= time.Second && d < 2*time.Second)
		seen[d] = true
	}
	assert.Assert(t, len(seen) > 50)
}
