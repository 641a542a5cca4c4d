package retry

import (
	"math/rand/v2"
	"time"
)

// defaultJitterBase replaces a base of zero or less.
const defaultJitterBase = time.Second

// Jitter returns a random time between base and twice base, so that callers that were refused
// together do not retry together.
func Jitter(base time.Duration) time.Duration {
	if base <= 0 {
		base = defaultJitterBase
	}
	return RandomBetween(base, 2*base)
}

// RandomBetween returns a random time in [from, to), or from if to is not later.
func RandomBetween(from, to time.Duration) time.Duration {
	if to <= from {
		return from
	}
	return from + time.Duration(rand.Int64N(int64(to-from)))
}
