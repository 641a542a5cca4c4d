package gateway

import (
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford/internal/telemetry"
)

// An outageLog logs and counts outages of what the router depends on.
type outageLog struct {
	log     log.Logger
	metrics *telemetry.Set
	// leaseLeft returns how long the configuration may be relied on meanwhile.
	leaseLeft func() time.Duration
}

// lost logs that a dependency is out of reach.
func (l *outageLog) lost(what string, err error) {
	l.metrics.Count("ryeford_dependency_lost_total", what)
	_ = l.log.Log("msg", "dependency lost", "dependency", what, "lease", l.leaseLeft(), "err", err)
}

// regained logs that a dependency answers again.
func (l *outageLog) regained(what string, after time.Duration) {
	_ = l.log.Log("msg", "dependency regained", "dependency", what, "after", roundTime(after))
}
