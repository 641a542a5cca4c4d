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
	a.awaitIdle(ctx)
	a.exportCaches(ctx)
	clock.Sleep(ctx, drainGrace)
	a.decisions.Record("", "decision", "drained", "unfinished", a.attempts.unfinished())
	return nil
}

// awaitIdle waits until all runs have finished, for the setting drain at most.
func (a *Agent) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.Limits.Drain)
	defer cancel()
	for a.attempts.unfinished() > 0 {
		if !clock.Sleep(ctx, drainCheck) {
			return
		}
	}
}
