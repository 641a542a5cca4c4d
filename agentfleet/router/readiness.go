package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/settings"
)

// drainCheck is the time between two looks at whether all requests have ended. Not
// measured: short against the stop of a process.
const drainCheck = 20 * time.Millisecond

// A readiness is what decides whether callers are to come here.
type readiness struct {
	synced  atomic.Bool // the book holds what the fleet had accepted; set by templateSync
	leaving atomic.Bool // set by drain
	fleet   *fleet
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

// A drain ends the process without breaking off a request.
type drain struct {
	limits    *settings.RouterLimits
	readiness *readiness
	inFlight  atomic.Int64 // requests of callers
	decisions *decision.Log
}

// run waits for stop to end. It then turns the router unready, goes on serving for
// limits.leave_notice, until the load balancer has noticed, and waits for the requests
// in flight, limits.drain at most.
func (d *drain) run(stop, work context.Context) error {
	select {
	case <-stop.Done():
	case <-work.Done():
		return nil
	}
	d.readiness.leaving.Store(true)
	d.decisions.Record("", "decision", "leave", "in_flight", d.inFlight.Load())
	if clock.Sleep(work, d.limits.LeaveNotice) {
		d.awaitIdle(work)
	}
	return nil
}

// awaitIdle waits until no request is in flight, for limits.drain at most.
func (d *drain) awaitIdle(work context.Context) {
	work, cancel := context.WithTimeout(work, d.limits.Drain)
	defer cancel()
	for d.inFlight.Load() > 0 {
		if !clock.Sleep(work, drainCheck) {
			return
		}
	}
}
