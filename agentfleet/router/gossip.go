package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// An agentGossip exchanges datagrams with the agents: it sends them the revision of the
// templates, the plan's version, and where a chat went, and takes their loads.
type agentGossip struct {
	*shared
	control *transport.ControlLimiter
}

// run sends the revision and the plan to agents until ctx ends.
func (g *agentGossip) run(ctx context.Context) error {
	loop := &gossip.Loop{
		Interval:    g.settings.Transport.GossipInterval,
		Book:        g.book,
		Decisions:   g.decisions,
		PlanChanged: g.plan.Changed,
		Send:        g.send,
	}
	return loop.Run(ctx)
}

func (g *agentGossip) send(n int) {
	for _, a := range gossip.Sample(g.fleet.all(), n) {
		g.sendTo(a.conn, &wire.Gossip{})
	}
}

// sendOverflow sends a chat's home the engine that served the chat.
func (g *agentGossip) sendOverflow(home, engine ryeford.EngineID, chat wire.ChatKey) {
	a, ok := g.fleet.engine(home)
	if !ok {
		return
	}
	g.sendTo(a.conn, &wire.Gossip{Overflows: []wire.Overflow{{Home: home, Chat: chat, Engine: engine}}})
}

// sendTo sends one datagram, with the revision and the plan that are known here.
func (g *agentGossip) sendTo(conn *transport.Conn, m *wire.Gossip) {
	m.VM = g.settings.VM
	m.Revision = g.book.Revision()
	m.PlanEpoch, m.PlanSequence = g.plan.Version()
	gossip.Send(g.control, m, conn)
}

// receive takes an agent's datagrams until the connection ends.
func (g *agentGossip) receive(ctx context.Context, conn *transport.Conn) {
	var templates gossip.Puller
	gossip.Receive(ctx, conn, func(m *wire.Gossip) {
		now := time.Now()
		for _, l := range m.Loads {
			g.loads.add(now, l.Model, l.Load)
		}
		if m.Revision > g.book.Revision() {
			templates.Start(func() { gossip.PullNewer(ctx, conn, g.book, m.Revision) })
		}
	})
}
