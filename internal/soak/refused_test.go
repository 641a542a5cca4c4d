package soak

import (
	"errors"
	"fmt"
	"syscall"
)

// detectionTime is the least time from SIGTERM until the load balancer can detect that a
// gateway is stopping: two of its probes have to fail.
const detectionTime = 2 * probeInterval

// checkRefused checks that a gateway that was ready at SIGTERM refuses no connection before
// the load balancer can detect the stop and send callers elsewhere.
func checkRefused(c *call, record *runRecord) string {
	if !errors.Is(c.err, syscall.ECONNREFUSED) || record.mayBeInterrupted(c) {
		return ""
	}
	s := record.stopOf(c)
	if s == nil || s.lastReadyAt == nil {
		return "" // not a stop, or the process was never ready
	}
	if after := c.ended.Sub(s.signaled); after < detectionTime {
		return fmt.Sprintf("connection refused %s after SIGTERM", after)
	}
	return ""
}
