package gateway

import (
	"context"
	"time"

	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/internal/clock"
)

// An initialSync holds requests back until the first configuration and the first
// list of endpoints have been read, for as long as admit.StartWait says.
type initialSync struct {
	started  time.Time
	maxWait  time.Duration
	done     <-chan struct{}
	complete func() // lets all requests go on; it may be called again
}

// newInitialSync returns an initialSync for which requests wait at most until patience
// has passed from now.
func newInitialSync(patience time.Duration) *initialSync {
	done, complete := context.WithCancel(context.Background())
	return &initialSync{started: clock.Now(), maxWait: patience, done: done.Done(), complete: complete}
}

// await waits until the sync is complete, ctx ends or the wait is over. left is for how
// long the caller still waits for a response.
func (s *initialSync) await(ctx context.Context, remaining time.Duration) {
	select {
	case <-s.done:
		return
	default:
	}
	wait := admit.StartWait(clock.Since(s.started), s.maxWait, remaining)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// checkSynced completes the initial sync if both the configuration and the list of
// endpoints are known.
func (g *Gateway) checkSynced() {
	if g.configuration.current() != nil && g.roster.Known() {
		g.initialSync.complete()
	}
}
