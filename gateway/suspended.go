package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// suspensionInterval is the interval between checks for a suspension of the VM, for the log and
// the metrics only: clock.Now corrects for suspensions itself.
const suspensionInterval = time.Second

// logSuspensions logs and counts suspensions of the VM until ctx is done.
func logSuspensions(ctx context.Context, logger log.Logger, metrics *telemetry.Set) error {
	ticker := time.NewTicker(suspensionInterval)
	defer ticker.Stop()
	previous := clock.SuspendedTime()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		clock.Now() // checks for a suspension
		total := clock.SuspendedTime()
		if total == previous {
			continue
		}
		duration := total - previous
		previous = total
		metrics.Count("ryeford_suspensions_total", "")
		metrics.Add("ryeford_suspended_ms_total", "", int(duration.Milliseconds()))
		_ = logger.Log("decision", "suspended", "span", roundTime(duration), "woke", roundTime(clock.Since(clock.ResumedAt())))
	}
}
