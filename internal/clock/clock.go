// Package clock waits on the runtime's clock, which tests can control, reads the monotonic
// clock that the processes of a machine share, and measures time including suspensions of
// the machine.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
