package agent

import (
	"context"
	"time"
)

const (
	drainCheck  = 20 * time.Millisecond
	drainLinger = time.Second // for routers whose dispatch is under way
)

// drain waits for the agent to be told to leave, then for what is in flight,
// and hands the chats' KV caches on.
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
	select {
	case <-time.After(drainLinger):
	case <-ctx.Done():
	}
	_ = a.decisions.Note("", "decision", "drained", "unfinished", a.attempts.unfinished())
	return nil
}

// waitUnfinished waits until no run goes on, or until the limit.
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
