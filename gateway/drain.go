package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/shutdown"
	"github.com/ryeford/ryeford/internal/clock"
)

// A drain shuts a gateway down gracefully: the gateway serves until callers connect elsewhere, and
// then waits for the requests in flight. Package shutdown determines when each step is taken. It is
// safe for concurrent use.
type drain struct {
	grace    time.Duration // from the shutdown signal to the end of the process
	log      log.Logger
	inFlight atomic.Int64 // callers' requests

	requestedAt    atomic.Pointer[time.Time] // when shutdown was requested; set before stopping
	stopping       atomic.Bool               // shutdown was requested
	failedProbes   atomic.Int32              // since the shutdown signal
	lastConnection atomic.Pointer[time.Time] // when a caller last connected, or nil

	// aborting is done shortly before connections are closed. Requests that are still unanswered
	// then are aborted with a response to their callers.
	aborting context.Context
	abort    context.CancelFunc
}

// newDrain returns the drain of a running gateway. grace is the time from the shutdown signal to the
// end of the process.
func newDrain(grace time.Duration, logger log.Logger) *drain {
	d := &drain{grace: grace, log: logger}
	d.aborting, d.abort = context.WithCancel(context.Background())
	return d
}

// run waits for the shutdown signal and returns once callers is closed. If work is done first, the
// gateway has failed and is closed immediately.
func (d *drain) run(stop, work context.Context, callers *server) {
	select {
	case <-stop.Done():
	case <-work.Done():
		callers.close()
		return
	}
	requested := clock.Now()
	closeBy := shutdown.CloseBy(requested, d.grace)
	d.requestedAt.Store(&requested)
	d.stopping.Store(true)
	_ = d.log.Log("msg", "stopping", "in_flight", d.inFlight.Load())
	timer := time.AfterFunc(clock.Until(closeBy)-shutdown.EndMargin, d.abort)
	defer timer.Stop()
	d.awaitFailedProbes(requested, closeBy)
	d.awaitNoNewConnections(closeBy)
	limit, cancel := context.WithTimeout(context.WithoutCancel(work), clock.Until(closeBy))
	defer cancel()
	// The log key polls is kept for compatibility: it is the number of failed readiness probes.
	_ = d.log.Log("msg", "closing idle connections", "in_flight", d.inFlight.Load(), "polls", d.failedProbes.Load())
	// Shutdown closes the listener and idle connections, and waits for active ones.
	if err := callers.http.Shutdown(limit); err != nil {
		_ = d.log.Log("msg", "requests did not finish in time; closing active connections", "in_flight", d.inFlight.Load(), "err", err)
		callers.close()
	}
}

// awaitFailedProbes waits until enough readiness probes have failed for the load balancer to remove
// the gateway, or the wait for that has timed out, but no longer than until closeBy.
func (d *drain) awaitFailedProbes(requested, closeBy time.Time) {
	for !shutdown.BalancerNoticed(clock.Since(requested), int(d.failedProbes.Load())) && clock.Now().Before(closeBy) {
		time.Sleep(shutdown.CheckInterval)
	}
	time.Sleep(min(shutdown.NoticeMargin, clock.Until(closeBy)))
}

// awaitNoNewConnections waits until no caller has connected for some time, but no longer than until
// closeBy.
func (d *drain) awaitNoNewConnections(closeBy time.Time) {
	for now := clock.Now(); now.Before(closeBy); now = clock.Now() {
		var last time.Time
		if p := d.lastConnection.Load(); p != nil {
			last = *p
		}
		if shutdown.NoNewConnections(now, last) {
			return
		}
		time.Sleep(shutdown.CheckInterval)
	}
}

// recordConnection records the time of new connections. It is an http.Server's ConnState.
func (d *drain) recordConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		now := clock.Now()
		d.lastConnection.Store(&now)
	}
}

// countFailedProbe counts a failed readiness probe after the shutdown signal.
func (d *drain) countFailedProbe() {
	if d.stopping.Load() {
		d.failedProbes.Add(1)
	}
}

// hasTimeFor reports whether a gateway that is shutting down still accepts a request. slowest is
// the duration of the slowest requests on its route.
func (d *drain) hasTimeFor(q *request, slowest time.Duration) bool {
	now, requested := clock.Now(), *d.requestedAt.Load()
	return shutdown.HasTimeFor(shutdown.Request{
		SinceSignal:   now.Sub(requested),
		UntilClose:    shutdown.CloseBy(requested, d.grace).Sub(now),
		Slowest:       slowest,
		UntilDeadline: q.deadline.Sub(now),
		Stream:        q.rule.Kind == ryeford.RouteStream,
	})
}
