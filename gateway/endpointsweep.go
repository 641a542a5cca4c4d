package gateway

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// sweepInterval is the interval between checks for idle connections.
const sweepInterval = 500 * time.Millisecond

// triggerSweep makes sweep recompute which endpoint expires next.
func (l *endpointList) triggerSweep() {
	select {
	case l.sweepDue <- struct{}{}:
	default: // a sweep is already pending
	}
}

// removeState removes all state of an endpoint.
func (l *endpointList) removeState(id ryeford.EndpointID) {
	l.pool.CloseIdle(id)
	for _, remover := range l.removers {
		remover.Remove(id)
	}
}

// sweep closes connections that have been idle for too long, and removes endpoints whose retention
// period has ended, until ctx is done.
func (l *endpointList) sweep(ctx context.Context) error {
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.sweepDue:
		case <-timer.C:
		}
		now := clock.Now()
		l.pool.CloseExpired(now)
		l.expireBackoffs(now)
		l.streams.update(now, l.roster, true)
		expired, released := l.roster.Expire(now)
		for _, id := range expired {
			_ = l.log.Log("decision", "endpoints", "expired", id)
			l.removeState(id)
		}
		if len(released) > 0 {
			_ = l.log.Log("decision", "endpoints", "released", join(released))
		}
		timer.Reset(l.roster.UntilExpiry(now, sweepInterval))
	}
}
