package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// gossip sends the revision and the plan to agents until ctx ends.
func (r *Router) gossip(ctx context.Context) error {
	loop := &gossip.Loop{
		Interval:    r.settings.Transport.GossipInterval,
		Book:        r.book,
		Decisions:   r.decisions,
		PlanChanged: r.planner.plan.Changed,
		Send:        r.sendGossip,
	}
	return loop.Run(ctx)
}

// sendGossip sends a datagram to n random agents.
func (r *Router) sendGossip(n int) {
	for _, a := range gossip.Sample(r.fleet.all(), n) {
		r.sendTo(a.conn, &wire.Gossip{})
	}
}

// sendOverflow sends a chat's home the engine that served the chat.
func (r *Router) sendOverflow(home, engine ryeford.EngineID, chat wire.ChatKey) {
	a, ok := r.fleet.engine(home)
	if !ok {
		return
	}
	r.sendTo(a.conn, &wire.Gossip{Overflows: []wire.Overflow{{Home: home, Chat: chat, Engine: engine}}})
}

// sendTo sends one datagram, with the revision and the plan that are known here.
func (r *Router) sendTo(conn *transport.Conn, m *wire.Gossip) {
	m.VM = r.settings.VM
	m.Revision = r.book.Revision()
	m.PlanEpoch, m.PlanSequence = r.planner.plan.Version()
	gossip.Send(r.control, m, conn)
}

// receiveGossip takes an agent's datagrams until the connection ends.
func (r *Router) receiveGossip(ctx context.Context, conn *transport.Conn) {
	gossip.Receive(ctx, conn, func(m *wire.Gossip) {
		now := time.Now()
		for _, l := range m.Loads {
			r.loads.add(now, l.Model, l.Load)
		}
		if m.Revision > r.book.Revision() {
			gossip.PullTemplates(ctx, conn, r.book)
		}
	})
}
