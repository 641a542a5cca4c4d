package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// gossip sends the engines' loads and the revision to routers until ctx ends.
func (a *Agent) gossip(ctx context.Context) error {
	loop := &gossip.Loop{
		Interval:    a.settings.Transport.GossipInterval,
		Book:        a.book,
		Decisions:   a.decisions,
		PlanChanged: func() <-chan struct{} { return nil },
		Send:        a.sendGossip,
	}
	return loop.Run(ctx)
}

// sendGossip sends the agent's state to n random routers.
func (a *Agent) sendGossip(n int) {
	epoch, sequence := a.plan.Version()
	m := &wire.Gossip{
		VM:           a.settings.VM,
		Revision:     a.book.Revision(),
		PlanEpoch:    epoch,
		PlanSequence: sequence,
	}
	for _, s := range a.settings.Engines {
		state := a.backends[s.ID].state()
		if len(state.Pools) > 0 {
			m.Loads = append(m.Loads, wire.EngineLoad{Model: state.Pools[0].Model, Load: state.Load})
		}
	}
	gossip.Send(a.control, m, a.randomPeers(n)...)
}

func (a *Agent) randomPeers(n int) []*transport.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	peers := make([]*transport.Conn, 0, len(a.peers))
	for peer := range a.peers {
		peers = append(peers, peer)
	}
	return gossip.Sample(peers, n)
}

// receiveGossip takes a router's datagrams until the connection ends.
func (a *Agent) receiveGossip(ctx context.Context, conn *transport.Conn) {
	var templates, plans gossip.Puller
	gossip.Receive(ctx, conn, func(m *wire.Gossip) {
		now := time.Now()
		for i := range m.Overflows {
			if b, ok := a.backends[m.Overflows[i].Home]; ok {
				b.addOverflow(now, &m.Overflows[i])
			}
		}
		if m.Revision > a.book.Revision() {
			templates.Start(func() { gossip.PullNewer(ctx, conn, a.book, m.Revision) })
		}
		if a.plan.OlderThan(m.PlanEpoch, m.PlanSequence) {
			plans.Start(func() { a.pullNewerPlan(ctx, conn, m) })
		}
	})
}
