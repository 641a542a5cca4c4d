// Package clock waits on the runtime's clock, which tests pause, and reads the steady clock
// that the processes of a machine share. It owns no state.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, and reports false if ctx ended before.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
