// Package decay computes how values lose weight as they age.
package decay

import (
	"math"
	"time"
)

// Factor returns the factor by which a value has decreased after age: a half after halfLife. It is 1 for a
// negative age, which a step between two clocks may cause.
func Factor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
