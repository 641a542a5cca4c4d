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
	// maxCrashChecks is the maximum number of connection attempts to an endpoint that has closed a
	// connection, and crashCheckPause the pause between two of them: a process that exits closes its
	// connections before its port.
	maxCrashChecks  = 3
	crashCheckPause = 50 * time.Millisecond
	// leavingCheckPause is that pause for an endpoint that leaves, which may exit in order soon after a response. A process
	// that is killed closes its port within milliseconds of its connections.
	leavingCheckPause = 4 * time.Millisecond
	// crashCheckTTL is how long a result is reused for further lost attempts at the endpoint: that it lives only for
	// those that were lost before the check.
	crashCheckTTL = 500 * time.Millisecond
)

// A crashDetector determines whether an endpoint that has closed a connection has exited. It is safe
// for concurrent use.
type crashDetector struct {
	log     log.Logger
	metrics *telemetry.Set
	// onCrash is called when an endpoint has been found to have exited.
	onCrash func(to *roster.Entry)

	mu     sync.Mutex
	checks map[ryeford.EndpointID]*crashCheck // the latest check of each endpoint
}

// A crashCheck is one check of whether an endpoint has exited.
type crashCheck struct {
	began   time.Time
	done    chan struct{} // closed once crashed is set
	crashed bool
}

func newCrashDetector(logger log.Logger, metrics *telemetry.Set, onCrash func(to *roster.Entry)) *crashDetector {
	return &crashDetector{log: logger, metrics: metrics, onCrash: onCrash, checks: make(map[ryeford.EndpointID]*crashCheck)}
}

// crashed reports whether an endpoint that closed a connection at a time has exited. It blocks until
// a check has completed that began after that time, or has found that the endpoint has exited.
func (c *crashDetector) crashed(to *roster.Entry, closed time.Time) bool {
	for {
		check, first := c.check(clock.Now(), to.ID)
		if first {
			c.run(check, to)
		}
		<-check.done
		if check.crashed || !check.began.Before(closed) {
			return check.crashed
		}
		c.forget(check, to.ID)
	}
}

// endedByCrash reports whether an endpoint has exited that has just closed a connection. One that leaves is given less
// time for it.
func (f *forwarder) endedByCrash(to *roster.Entry) bool {
	if !f.roster.Entry(to.ID).Accepts() {
		return hasExited(to, leavingCheckPause)
	}
	return f.quarantine.crashes.crashed(to, clock.Now())
}

// run runs a check, and logs and counts a crash.
func (c *crashDetector) run(check *crashCheck, to *roster.Entry) {
	check.run(to)
	if check.crashed {
		c.onCrash(to)
		c.metrics.Count("ryeford_endpoint_crashes_total", to.Service)
		_ = c.log.Log("decision", "endpoint_crashed", "endpoint", to.ID, "address", to.Address, "service", to.Service)
	}
}

// forget removes a check whose result is too old.
func (c *crashDetector) forget(check *crashCheck, id ryeford.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checks[id] == check {
		delete(c.checks, id)
	}
}

// check returns the current check of an endpoint, and whether the caller must run it.
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

// run determines whether an endpoint has exited.
func (c *crashCheck) run(to *roster.Entry) {
	defer close(c.done)
	c.crashed = hasExited(to, crashCheckPause)
}

// hasExited reports whether an endpoint's port refuses a connection within maxCrashChecks attempts.
func hasExited(to *roster.Entry, pause time.Duration) bool {
	ctx := context.Background() // bounded by the connect timeout
	for i := range maxCrashChecks {
		if i > 0 {
			clock.Sleep(ctx, pause)
		}
		if endpoint.RefusesConnections(ctx, to.Address) {
			return true
		}
	}
	return false
}
