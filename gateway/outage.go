package gateway

import (
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/watch"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// newOutage returns an outage of a dependency that is counted when it begins, and logged when it
// begins and ends. leaseRemaining returns how much longer the configuration may be used.
func newOutage(dependency string, leaseRemaining func() time.Duration, logger log.Logger, metrics *telemetry.Set) *watch.Outage {
	return &watch.Outage{
		OnLost: func(err error) {
			metrics.Count("ryeford_dependency_lost_total", dependency)
			_ = logger.Log("msg", "dependency lost", "dependency", dependency, "lease", leaseRemaining(), "err", err)
		},
		OnRegained: func(downtime ryeford.Downtime) {
			_ = logger.Log("msg", "dependency regained", "dependency", dependency, "after", roundTime(downtime.Duration()))
		},
	}
}
