package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// noticePolls is how many questions in a row the balancer must see refused
	// before it stops to send new connections, and noticeMargin how long it may
	// take to act on them.
	noticePolls  = 2
	noticeMargin = 400 * time.Millisecond
	// noticeMost is how long the balancer is waited for.
	noticeMost = 3 * time.Second
	// closeMargin is how long before the end of its grace a process closes what
	// is still open.
	closeMargin = 700 * time.Millisecond
	// quietTime is how long no new connection may have come before a leaving
	// process takes no more.
	quietTime  = 500 * time.Millisecond
	drainCheck = 50 * time.Millisecond
	// finishFactor is the multiple of the time that a route's requests take,
	// at the slowest, that must be left for one more.
	finishFactor = 1.5
)

// A drainState tells how far a gateway is in leaving.
type drainState struct {
	leaving atomic.Bool
	closeBy atomic.Pointer[time.Time]
	last    atomic.Pointer[time.Time] // when a caller's connection came last
	polls   atomic.Int32              // questions of the balancer refused since
}

// serveReady tells the balancer whether to send new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ready, why := g.ready(time.Now())
	if g.wasReady.Swap(ready) != ready {
		_ = g.log.Log("decision", "readiness", "ready", ready, "reason", why, "lease", g.leaseLeft(), "endpoints", g.roster.Len())
	}
	if ready {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	if g.drain.leaving.Load() {
		g.drain.polls.Add(1)
	}
}

// ready reports whether the gateway can serve, and why not.
func (g *Gateway) ready(now time.Time) (bool, string) {
	current := g.catalog.Get()
	switch {
	case g.drain.leaving.Load():
		return false, "leaving"
	case current == nil:
		return false, "no_configuration"
	case !g.roster.Known():
		return false, "no_endpoints"
	case current.Keyed() && !g.lease.Valid(now):
		return false, "stale_configuration"
	}
	return true, ""
}

// awaitDrain turns the gateway unready once stop ends, serves on until the
// balancer has noticed, and then waits for what is in flight.
func (g *Gateway) awaitDrain(stop, work context.Context, callers *server) {
	select {
	case <-stop.Done():
	case <-work.Done():
		callers.close()
		return
	}
	ordered := time.Now()
	closeBy := ordered.Add(g.settings.Bounds.Grace - closeMargin)
	g.drain.closeBy.Store(&closeBy)
	g.drain.leaving.Store(true)
	_ = g.log.Log("msg", "stopping", "in_flight", g.inFlight.Load())
	g.awaitNotice(ordered)
	g.awaitQuiet(closeBy)
	limit, cancel := context.WithDeadline(context.WithoutCancel(work), closeBy)
	defer cancel()
	_ = g.log.Log("msg", "closing idle connections", "in_flight", g.inFlight.Load(), "polls", g.drain.polls.Load())
	if err := callers.http.Shutdown(limit); err != nil {
		_ = g.log.Log("msg", "closing busy connections", "in_flight", g.inFlight.Load(), "err", err)
		callers.close()
	}
}

// awaitQuiet waits until no new connection has come for a while. Until then the
// gateway takes what comes: where all routers leave at once, the balancer sends
// callers to those that leave, too.
func (g *Gateway) awaitQuiet(closeBy time.Time) {
	for now := time.Now(); now.Before(closeBy); now = time.Now() {
		if last := g.drain.last.Load(); last == nil || now.Sub(*last) > quietTime {
			return
		}
		time.Sleep(drainCheck)
	}
}

// noteConnection notes when callers' connections come.
func (g *Gateway) noteConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		now := time.Now()
		g.drain.last.Store(&now)
	}
}

// checkLeaving refuses a request that may not be answered any more before the
// gateway has to end.
func (g *Gateway) checkLeaving(now time.Time, rule *ryeford.RouteRule) error {
	if !g.drain.leaving.Load() {
		return nil
	}
	if g.drain.closeBy.Load().Sub(now) > time.Duration(finishFactor*float64(g.durations.slowest(rule))) {
		return nil
	}
	return &ryeford.NotRunError{Reason: ryeford.ReasonLeaving, RetryAfter: retryStale}
}

// awaitNotice waits until the balancer has noticed that the gateway leaves.
func (g *Gateway) awaitNotice(ordered time.Time) {
	for time.Since(ordered) < noticeMost && g.drain.polls.Load() < noticePolls {
		time.Sleep(drainCheck)
	}
	time.Sleep(noticeMargin)
}
