package decay

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFactor checks the factor at some ages.
func TestFactor(t *testing.T) {
	for age, want := range map[time.Duration]float64{
		-time.Second: 1, 0: 1, time.Second: 0.5, 3 * time.Second: 0.125, math.MaxInt64: 0,
	} {
		assert.Equal(t, Factor(age, time.Second), want)
	}
}
