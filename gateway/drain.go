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

// A drain stops a gateway: it serves on until callers go elsewhere, and then waits
// for what is in flight. Package shutdown decides when it takes each step. It is safe
// for concurrent use.
type drain struct {
	grace    time.Duration // from the order to stop to the end of the process
	log      log.Logger
	inFlight atomic.Int64 // callers' requests

	ordered        atomic.Pointer[time.Time] // when it was ordered to stop; set before stopping is
	stopping       atomic.Bool               // the process was ordered to stop
	failedProbes   atomic.Int32              // since the order
	lastConnection atomic.Pointer[time.Time] // when a caller connected last, or nil

	// ending is done shortly before connections are closed: requests that are not
	// answered by then are given up, so that their callers are told.
	ending context.Context
	abort  context.CancelFunc
}

// newDrain returns the drain of a gateway that was not ordered to stop. grace is the
// time from the order to the end of the process.
func newDrain(grace time.Duration, logger log.Logger) *drain {
	d := &drain{grace: grace, log: logger}
	d.ending, d.abort = context.WithCancel(context.Background())
	return d
}

// run awaits the order to stop and returns once callers is closed. If work ends
// before, the gateway has failed and closes at once.
func (d *drain) run(stop, work context.Context, callers *server) {
	select {
	case <-stop.Done():
	case <-work.Done():
		callers.close()
		return
	}
	requested := clock.Now()
	closeBy := shutdown.CloseBy(requested, d.grace)
	d.ordered.Store(&requested)
	d.stopping.Store(true)
	_ = d.log.Log("msg", "stopping", "in_flight", d.inFlight.Load())
	timer := time.AfterFunc(clock.Until(closeBy)-shutdown.EndMargin, d.abort)
	defer timer.Stop()
	d.awaitFailedProbes(requested, closeBy)
	d.awaitNoNewConnections(closeBy)
	limit, cancel := context.WithTimeout(context.WithoutCancel(work), clock.Until(closeBy))
	defer cancel()
	// polls are the readiness probes that failed: operators know the log by that name.
	_ = d.log.Log("msg", "closing idle connections", "in_flight", d.inFlight.Load(), "polls", d.failedProbes.Load())
	// Shutdown closes the listener and idle connections, and waits for the busy ones.
	if err := callers.http.Shutdown(limit); err != nil {
		_ = d.log.Log("msg", "closing busy connections", "in_flight", d.inFlight.Load(), "err", err)
		callers.close()
	}
}

// awaitFailedProbes waits until the balancer has noticed that the gateway stops, but no longer
// than until closeBy.
func (d *drain) awaitFailedProbes(requested, closeBy time.Time) {
	for !shutdown.Noticed(clock.Since(requested), int(d.failedProbes.Load())) && clock.Now().Before(closeBy) {
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
		if shutdown.Quiet(now, last) {
			return
		}
		time.Sleep(shutdown.CheckInterval)
	}
}

// recordConnection records when callers connect. It is an http.Server's ConnState.
func (d *drain) recordConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		now := clock.Now()
		d.lastConnection.Store(&now)
	}
}

// countFailedProbe counts a readiness probe that failed, if the gateway stops.
func (d *drain) countFailedProbe() {
	if d.stopping.Load() {
		d.failedProbes.Add(1)
	}
}

// leavesTimeFor reports whether a gateway that stops takes a request now. slowest is the
// time of the slowest requests on its route.
func (d *drain) leavesTimeFor(q *request, slowest time.Duration) bool {
	now, requested := clock.Now(), *d.ordered.Load()
	return shutdown.LeavesTimeFor(shutdown.Request{
		SinceOrder: now.Sub(requested),
		Left:       shutdown.CloseBy(requested, d.grace).Sub(now),
		Slowest:    slowest,
		Longest:    q.deadline.Sub(now),
		Stream:     q.rule.Kind == ryeford.RouteStream,
	})
}
