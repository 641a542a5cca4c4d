package gateway

import (
	"context"
	"time"

	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/internal/clock"
)

// An initialSync delays requests until the first configuration and the first list of endpoints have
// been read, for at most the time that admit.StartWait returns.
type initialSync struct {
	started  time.Time
	maxWait  time.Duration
	done     <-chan struct{}
	complete func() // releases all requests; safe to call more than once
	onWait   func() // called when a request begins to wait; may be nil
}

// newInitialSync returns an initialSync that delays requests for at most maxWait from now.
func newInitialSync(maxWait time.Duration) *initialSync {
	done, complete := context.WithCancel(context.Background())
	return &initialSync{started: clock.Now(), maxWait: maxWait, done: done.Done(), complete: complete}
}

// await waits until the sync is complete, ctx is done or the wait has timed out. remaining is the
// time until the caller stops waiting for a response.
func (s *initialSync) await(ctx context.Context, remaining time.Duration) {
	select {
	case <-s.done:
		return
	default:
	}
	if s.onWait != nil {
		s.onWait()
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

// checkSynced completes the initial sync once both the configuration and the list of endpoints are
// known.
func (g *Gateway) checkSynced() {
	if g.configuration.current() != nil && g.roster.Loaded() {
		g.initialSync.complete()
	}
}
