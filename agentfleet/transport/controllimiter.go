package transport

import (
	"time"

	"golang.org/x/time/rate"
)

// controlBurst is for how many seconds of its rate a process may send control traffic
// at once. Not measured.
const controlBurst = 4

// A ControlLimiter bounds and counts the control traffic that a process sends: gossip. Its
// methods may be called concurrently.
type ControlLimiter struct {
	limiter *rate.Limiter
	count   func(bytes int)
}

// NewControlLimiter returns a ControlLimiter of so many bytes a second. It calls count with the
// bytes that may be sent, each time.
func NewControlLimiter(bytesPerSecond int, count func(bytes int)) *ControlLimiter {
	return &ControlLimiter{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), controlBurst*bytesPerSecond),
		count:   count,
	}
}

// Allow takes bytes from the budget, or reports false if too few are left.
func (c *ControlLimiter) Allow(bytes int) bool {
	if !c.limiter.AllowN(time.Now(), bytes) {
		return false
	}
	c.count(bytes)
	return true
}
