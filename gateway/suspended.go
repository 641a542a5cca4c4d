package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// suspensionInterval is how often it is looked whether the machine was suspended, for the log and the
// metrics: what is decided goes by clock.Now, which notices by itself.
const suspensionInterval = time.Second

// logSuspensions logs and counts for how long the machine was suspended, until ctx ends.
func logSuspensions(ctx context.Context, logger log.Logger, metrics *telemetry.Set) error {
	ticker := time.NewTicker(suspensionInterval)
	defer ticker.Stop()
	previous := clock.Suspended()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		clock.Now() // looks for a suspension
		total := clock.Suspended()
		if total == previous {
			continue
		}
		duration := total - previous
		previous = total
		metrics.Count("ryeford_suspensions_total", "")
		metrics.Add("ryeford_suspended_ms_total", "", int(duration.Milliseconds()))
		_ = logger.Log("decision", "suspended", "span", roundTime(duration), "woke", roundTime(clock.Since(clock.Woke())))
	}
}
