package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// drainCheck is how often a leaving agent looks whether its runs have ended.
	// Not measured.
	drainCheck = 20 * time.Millisecond
	// drainGrace is how long a drained agent still answers: dispatches that are
	// under way are refused, and so proved not to have run. Not measured.
	drainGrace = time.Second
)

// drain waits until the agent is to leave. From then on admit refuses; runs may
// end within the setting drain; then the chats' KV caches are handed on, and
// drainGrace later the agent ends. Runs that are left then are lost.
func (a *Agent) drain(ctx context.Context) error {
	select {
	case <-a.leave:
	case <-ctx.Done():
		return nil
	}
	limit := time.NewTimer(a.settings.Limits.Drain)
	defer limit.Stop()
	a.waitUnfinished(ctx, limit.C)
	a.exportCaches(ctx)
	clock.Sleep(ctx, drainGrace)
	a.decisions.Record("", "decision", "drained", "unfinished", a.attempts.unfinished())
	return nil
}

// waitUnfinished waits until all runs have finished, or until the limit.
func (a *Agent) waitUnfinished(ctx context.Context, limit <-chan time.Time) {
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for a.attempts.unfinished() > 0 {
		select {
		case <-ticker.C:
		case <-limit:
			return
		case <-ctx.Done():
			return
		}
	}
}
