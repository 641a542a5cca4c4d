package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
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

// A drain is how far a gateway is in stopping.
type drain struct {
	grace    time.Duration // from the order to stop to the end of the process
	log      log.Logger
	leaving  atomic.Bool
	closeBy  atomic.Pointer[time.Time]
	last     atomic.Pointer[time.Time] // when a caller's connection came last
	polls    atomic.Int32              // questions of the balancer refused since
	inFlight atomic.Int64              // callers' requests
}

// newDrain returns a drain of a gateway that goes on.
func newDrain(grace time.Duration, logger log.Logger) *drain {
	return &drain{grace: grace, log: logger}
}

// run turns the gateway unready once stop ends, serves on until the
// balancer has noticed, and then waits for what is in flight.
func (d *drain) run(stop, work context.Context, callers *server) {
	select {
	case <-stop.Done():
	case <-work.Done():
		callers.close()
		return
	}
	ordered := time.Now()
	closeBy := ordered.Add(d.grace - closeMargin)
	d.closeBy.Store(&closeBy)
	d.leaving.Store(true)
	_ = d.log.Log("msg", "stopping", "in_flight", d.inFlight.Load())
	d.awaitNotice(ordered)
	d.awaitQuiet(closeBy)
	limit, cancel := context.WithDeadline(context.WithoutCancel(work), closeBy)
	defer cancel()
	_ = d.log.Log("msg", "closing idle connections", "in_flight", d.inFlight.Load(), "polls", d.polls.Load())
	if err := callers.http.Shutdown(limit); err != nil {
		_ = d.log.Log("msg", "closing busy connections", "in_flight", d.inFlight.Load(), "err", err)
		callers.close()
	}
}

// awaitQuiet waits until no new connection has come for a while. Until then the
// gateway takes what comes: where all routers leave at once, the balancer sends
// callers to those that leave, too.
func (d *drain) awaitQuiet(closeBy time.Time) {
	for now := time.Now(); now.Before(closeBy); now = time.Now() {
		if last := d.last.Load(); last == nil || now.Sub(*last) > quietTime {
			return
		}
		time.Sleep(drainCheck)
	}
}

// noteConnection notes when callers' connections come.
func (d *drain) noteConnection(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		now := time.Now()
		d.last.Store(&now)
	}
}

// leavesTimeFor reports whether a request that came now is answered before the
// gateway has to end, if it takes as long as the slowest on its route.
func (d *drain) leavesTimeFor(now time.Time, slowest time.Duration) bool {
	return d.closeBy.Load().Sub(now) > time.Duration(finishFactor*float64(slowest))
}

// awaitNotice waits until the balancer has noticed that the gateway leaves.
func (d *drain) awaitNotice(ordered time.Time) {
	for time.Since(ordered) < noticeMost && d.polls.Load() < noticePolls {
		time.Sleep(drainCheck)
	}
	time.Sleep(noticeMargin)
}
