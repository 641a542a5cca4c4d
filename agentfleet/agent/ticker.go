package agent

import (
	"context"
	"time"
)

// every calls do after each interval until ctx ends, one call at a time. It
// returns nil.
func every(ctx context.Context, interval time.Duration, do func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-ctx.Done():
			return nil
		}
	}
}
