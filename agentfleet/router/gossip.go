package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/route"
)

const (
	syncQuorum   = 3 // agents that a fresh router asks while the store is down
	syncInterval = 500 * time.Millisecond
)

// gossip sends the revision and the plan to agents until ctx ends.
func (r *Router) gossip(ctx context.Context) error {
	loop := &gossip.Loop{
		Interval:    r.settings.Transport.GossipInterval,
		Book:        r.book,
		Decisions:   r.decisions,
		PlanChanged: r.planner.changed,
		Send:        r.sendGossip,
	}
	return loop.Run(ctx)
}

// sendGossip sends a datagram to n random agents.
func (r *Router) sendGossip(n int) {
	for _, p := range gossip.Sample(r.fleet.all(), n) {
		r.sendTo(p.conn, &wire.Gossip{})
	}
}

// sendTo sends one datagram, with the revision and the plan that are known.
func (r *Router) sendTo(conn *transport.Conn, m *wire.Gossip) {
	m.VM = r.settings.VM
	m.Revision = r.book.Revision()
	m.PlanEpoch, m.PlanSequence = r.planner.known()
	gossip.Send(r.control, m, conn)
}

// receiveGossip takes an agent's datagrams until the connection ends.
func (r *Router) receiveGossip(ctx context.Context, conn *transport.Conn) {
	gossip.Receive(ctx, conn, func(m *wire.Gossip) {
		now := time.Now()
		for _, l := range m.Loads {
			r.fleet.addLoad(now, l.Model, l.Load)
		}
		if m.Revision > r.book.Revision() {
			gossip.PullTemplates(ctx, conn, r.book)
		}
	})
}

// syncTemplates reads the accepted templates from the platform's table, until
// ctx ends. It is the floor below the gossip.
func (r *Router) syncTemplates(ctx context.Context) error {
	for {
		from := r.book.Revision()
		revision, templates, err := r.templates.Since(ctx, from)
		switch {
		case err == nil:
			r.book.Apply(from, revision, templates)
			r.setSynced("store")
		case !r.synced.Load():
			r.syncFromAgents(ctx)
		}
		wait := jitter(r.settings.Polls.Templates)
		if !r.synced.Load() {
			wait = syncInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return nil
		}
	}
}

// syncFromAgents brings a fresh router up while the store is down: it takes
// the highest revision of several agents.
func (r *Router) syncFromAgents(ctx context.Context) {
	peers := r.fleet.all()
	answered := 0
	for _, p := range gossip.Sample(peers, len(peers)) {
		if answered == syncQuorum {
			break
		}
		if revision, ok := gossip.PullTemplates(ctx, p.conn, r.book); ok && revision > 0 {
			answered++
		}
	}
	if answered > 0 && answered >= min(syncQuorum, len(peers)) {
		r.setSynced("agents")
	}
}

// setSynced notes that the book holds what the fleet had accepted.
func (r *Router) setSynced(source string) {
	if r.synced.CompareAndSwap(false, true) {
		_ = r.decisions.Note("", "decision", "synced", "source", source, "revision", r.book.Revision())
	}
}

// acceptStreams answers the questions of an agent until the connection ends.
func (r *Router) acceptStreams(ctx context.Context, conn *transport.Conn) {
	for {
		stream, err := conn.Accept(ctx)
		if err != nil {
			return
		}
		go r.serveStream(stream)
	}
}

// serveStream answers one question of an agent.
func (r *Router) serveStream(stream *transport.Stream) {
	defer stream.Close()
	m, err := stream.Receive()
	if err != nil {
		return
	}
	var reply *wire.Message
	switch {
	case m.Pull != nil:
		revision, templates := r.book.Since(m.Pull.Revision)
		reply = &wire.Message{Delta: &wire.Delta{Revision: revision, Templates: templates}}
	case m.PullPlan != nil:
		reply = &wire.Message{Plan: r.planner.part(m.PullPlan.VM)}
	case m.Successors != nil:
		reply = &wire.Message{Placements: r.successors(m.Successors)}
	default:
		return
	}
	if stream.Send(reply) == nil {
		stream.CloseSend()
	}
}

// successors returns the next candidates of chats whose VM is leaving.
func (r *Router) successors(s *wire.Successors) *wire.Placements {
	answer := &wire.Placements{Placements: make([]wire.Placement, len(s.Chats))}
	set := r.fleet.pool(s.Pool)
	if set == nil {
		return answer
	}
	var ranking route.Ranking
	for i, chat := range s.Chats {
		set.Rank(route.ChatHash(chat.Account, chat.Chat), route.MaxCandidates, &ranking)
		for _, index := range ranking.Index[:ranking.Len] {
			target := set.Target(int(index))
			if p, ok := r.fleet.vm(target.VM); ok && target.VM != s.Leaving {
				answer.Placements[i] = wire.Placement{Engine: target.Engine, Address: p.vm.Address.String()}
				break
			}
		}
	}
	return answer
}

// sendOverflow tells a chat's home which engine served the chat.
func (r *Router) sendOverflow(home, engine ryeford.EngineID, chat wire.ChatKey) {
	p, ok := r.fleet.engine(home)
	if !ok {
		return
	}
	r.sendTo(p.conn, &wire.Gossip{Overflows: []wire.Overflow{{Home: home, Chat: chat, Engine: engine}}})
}
