package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
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
	drainCheck  = 50 * time.Millisecond
)

// A drainState tells how far a gateway is in leaving.
type drainState struct {
	leaving atomic.Bool
	polls   atomic.Int32 // questions of the balancer refused since
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
	g.drain.leaving.Store(true)
	_ = g.log.Log("msg", "stopping", "in_flight", g.inFlight.Load())
	g.awaitNotice(ordered)
	limit, cancel := context.WithDeadline(context.WithoutCancel(work), ordered.Add(g.settings.Bounds.Grace-closeMargin))
	defer cancel()
	_ = g.log.Log("msg", "closing idle connections", "in_flight", g.inFlight.Load(), "polls", g.drain.polls.Load())
	if err := callers.http.Shutdown(limit); err != nil {
		_ = g.log.Log("msg", "closing busy connections", "in_flight", g.inFlight.Load(), "err", err)
		callers.close()
	}
}

// awaitNotice waits until the balancer has noticed that the gateway leaves.
func (g *Gateway) awaitNotice(ordered time.Time) {
	for time.Since(ordered) < noticeMost && g.drain.polls.Load() < noticePolls {
		time.Sleep(drainCheck)
	}
	time.Sleep(noticeMargin)
}
