package gateway

import (
	"context"
	"sync"
	"time"
)

// A learned tells when a router has what it needs to serve: a configuration and
// the list of endpoints. Requests that come in the first moments of a process wait
// for it, since a whole fleet that starts anew meets all its callers at once.
type learned struct {
	until time.Time // requests wait no longer than that
	once  sync.Once
	done  chan struct{}
}

// newLearned returns a learned for which requests wait at most so long from now.
func newLearned(patience time.Duration) *learned {
	return &learned{until: time.Now().Add(patience), done: make(chan struct{})}
}

// note notes that the router can serve.
func (l *learned) note() { l.once.Do(func() { close(l.done) }) }

// await waits until the router can serve, ctx ends or the first moments are over.
func (l *learned) await(ctx context.Context) {
	select {
	case <-l.done:
		return
	default:
	}
	wait := time.Until(l.until)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noteLearned notes that the router can serve, if it can.
func (g *Gateway) noteLearned() {
	if g.configuration.current() != nil && g.roster.Known() {
		g.learned.note()
	}
}
