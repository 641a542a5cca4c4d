package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/internal/clock"
)

// drainPollInterval is the interval between checks whether all requests have ended.
const drainPollInterval = 20 * time.Millisecond

// A readiness is the state that determines whether the router accepts callers and
// whether it may exit.
type readiness struct {
	synced   atomic.Bool  // the cache holds all accepted templates; set by syncTemplates
	leaving  atomic.Bool  // set by drain
	inFlight atomic.Int64 // requests of callers
	fleet    *fleet
}

// ready reports whether the load balancer may send callers here.
func (r *readiness) ready() bool {
	return ready(r.synced.Load(), r.leaving.Load(), r.fleet.connectedCount())
}

// ready reports whether a router can serve: it has read the templates in force, is not
// leaving, and is connected to an agent.
func ready(synced, leaving bool, agents int) bool {
	return synced && !leaving && agents > 0
}

// drain shuts the router down without interrupting requests. When stopCtx ends, it marks
// the router as not ready and continues to serve for limits.leave_notice, so that the
// load balancer can react. It then waits for the requests in flight, for limits.drain
// at most.
func (r *Router) drain(stopCtx, workCtx context.Context) error {
	select {
	case <-stopCtx.Done():
	case <-workCtx.Done():
		return nil
	}
	r.readiness.leaving.Store(true)
	r.decisions.Record("", "decision", "leave", "in_flight", r.readiness.inFlight.Load())
	if clock.Sleep(workCtx, r.limits.LeaveNotice) {
		r.awaitIdle(workCtx)
	}
	return nil
}

// awaitIdle waits until no request is in flight, for limits.drain at most.
func (r *Router) awaitIdle(workCtx context.Context) {
	workCtx, cancel := context.WithTimeout(workCtx, r.limits.Drain)
	defer cancel()
	for r.readiness.inFlight.Load() > 0 {
		if !clock.Sleep(workCtx, drainPollInterval) {
			return
		}
	}
}

const (
	// syncQuorum is how many agents must reply to a new router that can't read the
	// table before it accepts the highest of their revisions as the current one. One
	// agent may have missed an update, but hardly three.
	syncQuorum = 3

	// syncInterval is the interval between two such attempts.
	syncInterval = 500 * time.Millisecond
)

// syncTemplates reads accepted templates from the platform's table into the cache, until
// ctx ends. It compensates for lost gossip.
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

// syncOnce reads the templates from the table. If that fails, a router without
// templates asks agents, and one with templates continues with them.
func (r *Router) syncOnce(ctx context.Context) {
	err := r.readTemplates(ctx)
	if err == nil {
		r.setSynced("store")
		return
	}
	if ctx.Err() == nil {
		_ = r.log.Log("msg", "cannot read templates from the platform's table; using the present ones, or those of agents if there are none", "err", err)
	}
	if !r.readiness.synced.Load() {
		r.syncFromAgents(ctx)
	}
}

// readTemplates reads the templates that the cache lacks from the table.
func (s *sharedState) readTemplates(ctx context.Context) error {
	from := s.templateCache.Revision()
	revision, templates, err := s.templates.ChangedSince(ctx, from)
	if err == nil {
		s.templateCache.Apply(from, revision, templates)
	}
	return err
}

// syncFromAgents gets the templates from several agents while the table can't be read,
// and uses the highest revision among them.
func (r *Router) syncFromAgents(ctx context.Context) {
	agents := r.fleet.list()
	answered := 0
	for _, a := range gossip.Sample(agents, len(agents)) {
		if answered == syncQuorum {
			break
		}
		if revision, ok := gossip.PullTemplates(ctx, a.conn, r.templateCache); ok && revision > 0 {
			answered++
		}
	}
	if hasSyncQuorum(answered, len(agents)) {
		r.setSynced("agents")
	}
}

// hasSyncQuorum reports whether enough of the connected agents replied to trust their
// templates: syncQuorum, or all of them if there are fewer.
func hasSyncQuorum(answered, connected int) bool {
	return answered > 0 && answered >= min(syncQuorum, connected)
}

// setSynced marks the cache as complete.
func (r *Router) setSynced(source string) {
	if r.readiness.synced.CompareAndSwap(false, true) {
		r.decisions.Record("", "decision", "synced", "source", source, "revision", r.templateCache.Revision())
	}
}
