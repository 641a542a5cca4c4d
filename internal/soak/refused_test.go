package soak

import (
	"errors"
	"fmt"
	"syscall"
)

// detectionTime is the least time from SIGTERM until the load balancer knows that a gateway
// stops: two of its probes have to fail.
const detectionTime = 2 * probeInterval

// checkRefused checks that a gateway that was ready when it got SIGTERM refuses no
// connection before the load balancer can know: callers that it sends there would find
// nobody.
func checkRefused(c *call, record *runRecord) string {
	if !errors.Is(c.err, syscall.ECONNREFUSED) || record.mayBeInterrupted(c) {
		return ""
	}
	s := record.stopOf(c)
	if s == nil || s.readyAt == nil {
		return "" // a process that starts
	}
	if after := c.ended.Sub(s.signaled); after < detectionTime {
		return fmt.Sprintf("no connection %s after SIGTERM", after)
	}
	return ""
}
