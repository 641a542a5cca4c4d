package transport

import (
	"time"

	"golang.org/x/time/rate"
)

// A Control bounds and counts the control traffic that a process sends.
type Control struct {
	limiter *rate.Limiter
	count   func(bytes int)
}

// NewControl returns a Control of so many bytes a second. It reports the bytes
// that are sent to count.
func NewControl(bytesPerSecond int, count func(bytes int)) *Control {
	return &Control{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), 4*bytesPerSecond),
		count:   count,
	}
}

// Allow takes bytes of the budget, or reports that it is spent.
func (c *Control) Allow(bytes int) bool {
	if !c.limiter.AllowN(time.Now(), bytes) {
		return false
	}
	c.count(bytes)
	return true
}
