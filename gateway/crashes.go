package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
)

const (
	// maxCrashChecks is how often it is tried at most whether an endpoint that has broken an attempt
	// off accepts connections, and crashCheckPause the time between two tries: a process that ends
	// closes its connections before its port.
	maxCrashChecks  = 3
	crashCheckPause = 50 * time.Millisecond
	// crashCheckTTL is for how long the outcome counts for further attempts that the endpoint breaks
	// off: those of one moment.
	crashCheckTTL = 500 * time.Millisecond
)

// A crashDetector finds out whether an endpoint that has broken off an attempt has ended, or just a
// connection to it. It is safe for concurrent use.
type crashDetector struct {
	log     log.Logger
	metrics *telemetry.Set

	mu     sync.Mutex
	checks map[ryeford.EndpointID]*crashCheck // the latest of each endpoint
}

// A crashCheck finds out once whether an endpoint has ended.
type crashCheck struct {
	began   time.Time
	done    chan struct{} // closed once crashed is known
	crashed bool
}

func newCrashDetector(logger log.Logger, metrics *telemetry.Set) *crashDetector {
	return &crashDetector{log: logger, metrics: metrics, checks: make(map[ryeford.EndpointID]*crashCheck)}
}

// crashed reports whether an endpoint that has just broken off an attempt has ended. It waits
// until that is known.
func (c *crashDetector) crashed(to *roster.Entry) bool {
	check, first := c.check(clock.Now(), to.ID)
	if first {
		check.run(to)
		if check.crashed {
			c.metrics.Count("ryeford_endpoint_crashes_total", to.Service)
			_ = c.log.Log("decision", "endpoint_crashed", "endpoint", to.ID, "address", to.Address, "service", to.Service)
		}
	}
	<-check.done
	return check.crashed
}

// check returns the check of an endpoint, and whether it is still to be run.
func (c *crashDetector) check(now time.Time, id ryeford.EndpointID) (check *crashCheck, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, old := range c.checks {
		if now.Sub(old.began) >= crashCheckTTL {
			delete(c.checks, other)
		}
	}
	if check = c.checks[id]; check != nil {
		return check, false
	}
	check = &crashCheck{began: now, done: make(chan struct{})}
	c.checks[id] = check
	return check, true
}

// run finds out whether an endpoint has ended.
func (c *crashCheck) run(to *roster.Entry) {
	defer close(c.done)
	ctx := context.Background() // bounded by the time to open a connection
	for i := range maxCrashChecks {
		if i > 0 {
			clock.Sleep(ctx, crashCheckPause)
		}
		if endpoint.Refuses(ctx, to.Address) {
			c.crashed = true
			return
		}
	}
}
