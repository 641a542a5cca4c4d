package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

// drainCheck is the time between two looks at whether all requests have ended. Not
// measured: short against the stop of a process.
const drainCheck = 20 * time.Millisecond

// A readiness is what decides whether callers are to come here, and may go.
type readiness struct {
	synced   atomic.Bool  // the book holds what the fleet had accepted; set by templateSync
	leaving  atomic.Bool  // set by drain
	inFlight atomic.Int64 // requests of callers
	fleet    *fleet
}

// ready reports whether the load balancer is to send callers here.
func (r *readiness) ready() bool {
	return ready(r.synced.Load(), r.leaving.Load(), r.fleet.reachable())
}

// ready is the rule of readiness: the router has read the templates that are in force,
// is not leaving, and is connected to an agent.
func ready(synced, leaving bool, agents int) bool {
	return synced && !leaving && agents > 0
}

// drain ends the process without breaking off a request. It waits for stop to end. It
// then turns the router unready, goes on serving for limits.leave_notice, until the load
// balancer has noticed, and waits for the requests in flight, limits.drain at most.
func (r *Router) drain(stop, work context.Context) error {
	select {
	case <-stop.Done():
	case <-work.Done():
		return nil
	}
	r.readiness.leaving.Store(true)
	r.decisions.Record("", "decision", "leave", "in_flight", r.readiness.inFlight.Load())
	if clock.Sleep(work, r.limits.LeaveNotice) {
		r.awaitIdle(work)
	}
	return nil
}

// awaitIdle waits until no request is in flight, for limits.drain at most.
func (r *Router) awaitIdle(work context.Context) {
	work, cancel := context.WithTimeout(work, r.limits.Drain)
	defer cancel()
	for r.readiness.inFlight.Load() > 0 {
		if !clock.Sleep(work, drainCheck) {
			return
		}
	}
}
