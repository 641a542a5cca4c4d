package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// syncQuorum is how many agents must have answered a fresh router that can't read
	// the table, before it takes the highest of their revisions for the accepted one.
	// Not measured: one agent may have missed a change, three hardly the same.
	syncQuorum = 3

	// syncInterval is the time between two such attempts. Not measured.
	syncInterval = 500 * time.Millisecond
)

// syncTemplates reads the accepted templates from the platform's table, until ctx ends.
// It makes up for what gossip loses.
func (r *Router) syncTemplates(ctx context.Context) error {
	for {
		r.syncOnce(ctx)
		wait := jitter(r.settings.Polls.Templates)
		if !r.synced.Load() {
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
	from := r.book.Revision()
	revision, templates, err := r.templates.Since(ctx, from)
	if err == nil {
		r.book.Apply(from, revision, templates)
		r.setSynced("store")
		return
	}
	if ctx.Err() == nil {
		_ = r.log.Log("msg", "templates not read", "err", err)
	}
	if !r.synced.Load() {
		r.syncFromAgents(ctx)
	}
}

// syncFromAgents brings a fresh router up while the table can't be read: it takes the
// highest revision of several agents.
func (r *Router) syncFromAgents(ctx context.Context) {
	agents := r.fleet.all()
	answered := 0
	for _, a := range gossip.Sample(agents, len(agents)) {
		if answered == syncQuorum {
			break
		}
		if revision, ok := gossip.PullTemplates(ctx, a.conn, r.book); ok && revision > 0 {
			answered++
		}
	}
	if agentsSuffice(answered, len(agents)) {
		r.setSynced("agents")
	}
}

// agentsSuffice reports whether the templates of so many agents, of those connected, may
// be taken for all that were accepted: of syncQuorum, or of all if there are fewer.
func agentsSuffice(answered, connected int) bool {
	return answered > 0 && answered >= min(syncQuorum, connected)
}

// setSynced marks the book as complete: it holds what the fleet had accepted.
func (r *Router) setSynced(source string) {
	if r.synced.CompareAndSwap(false, true) {
		r.decisions.Record("", "decision", "synced", "source", source, "revision", r.book.Revision())
	}
}
