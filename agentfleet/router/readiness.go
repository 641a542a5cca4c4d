package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/internal/clock"
)

// drainPollInterval is the time between two looks at whether all requests have ended: short
// against the stop of a process.
const drainPollInterval = 20 * time.Millisecond

// A readiness is what decides whether callers are to come here, and may go.
type readiness struct {
	synced   atomic.Bool  // the book holds what the fleet had accepted; set by syncTemplates
	leaving  atomic.Bool  // set by drain
	inFlight atomic.Int64 // requests of callers
	fleet    *fleet
}

// ready reports whether the load balancer is to send callers here.
func (r *readiness) ready() bool {
	return ready(r.synced.Load(), r.leaving.Load(), r.fleet.connectedCount())
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
		if !clock.Sleep(work, drainPollInterval) {
			return
		}
	}
}

const (
	// syncQuorum is how many agents must have answered a fresh router that can't read
	// the table, before it takes the highest of their revisions for the accepted one.
	// One agent may have missed a change, three hardly the same.
	syncQuorum = 3

	// syncInterval is the time between two such attempts.
	syncInterval = 500 * time.Millisecond
)

// syncTemplates brings the book up to the templates that the fleet has accepted, which it
// reads from the platform's table until ctx ends. It makes up for what gossip loses.
func (r *Router) syncTemplates(ctx context.Context) error {
	for {
		r.syncOnce(ctx)
		wait := jitter(r.settings.Polls.Templates)
		if !r.readiness.synced.Load() {
			wait = syncInterval
		}
		if !clock.Sleep(ctx, wait) {
			return nil
		}
	}
}

// syncOnce reads the templates from the table. If that fails, a router that has none
// asks agents, and one that has some goes on with them.
func (r *Router) syncOnce(ctx context.Context) {
	err := r.readTemplates(ctx)
	if err == nil {
		r.setSynced("store")
		return
	}
	if ctx.Err() == nil {
		_ = r.log.Log("msg", "templates not read", "err", err)
	}
	if !r.readiness.synced.Load() {
		r.syncFromAgents(ctx)
	}
}

// readTemplates reads the templates that the book lacks from the table.
func (s *sharedState) readTemplates(ctx context.Context) error {
	from := s.book.Revision()
	revision, templates, err := s.templates.Since(ctx, from)
	if err == nil {
		s.book.Apply(from, revision, templates)
	}
	return err
}

// syncFromAgents brings a fresh router up while the table can't be read: it takes the
// highest revision of several agents.
func (r *Router) syncFromAgents(ctx context.Context) {
	agents := r.fleet.list()
	answered := 0
	for _, a := range gossip.Sample(agents, len(agents)) {
		if answered == syncQuorum {
			break
		}
		if revision, ok := gossip.PullTemplates(ctx, a.conn, r.book); ok && revision > 0 {
			answered++
		}
	}
	if hasSyncQuorum(answered, len(agents)) {
		r.setSynced("agents")
	}
}

// hasSyncQuorum reports whether the templates of so many agents, of those connected, may
// be taken for all that were accepted: of syncQuorum, or of all if there are fewer.
func hasSyncQuorum(answered, connected int) bool {
	return answered > 0 && answered >= min(syncQuorum, connected)
}

// setSynced marks the book as complete: it holds what the fleet had accepted.
func (r *Router) setSynced(source string) {
	if r.readiness.synced.CompareAndSwap(false, true) {
		r.decisions.Record("", "decision", "synced", "source", source, "revision", r.book.Revision())
	}
}
