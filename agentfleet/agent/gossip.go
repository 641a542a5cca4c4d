package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// gossip sends the engines' loads and the revision to a random router each
// interval, and to several at once after a new revision, until ctx ends.
func (a *Agent) gossip(ctx context.Context) error {
	ticker := time.NewTicker(a.settings.Transport.GossipInterval)
	defer ticker.Stop()
	changed := a.book.Changed()
	for {
		select {
		case <-ticker.C:
			a.sendGossip(1)
		case <-changed:
			changed = a.book.Changed()
			_ = a.decisions.Note("", "decision", "in_force", "revision", a.book.Revision())
			a.sendGossip(wire.RumorFanout)
		case <-ctx.Done():
			return nil
		}
	}
}

// sendGossip sends a datagram to n random peers.
func (a *Agent) sendGossip(n int) {
	peers := a.randomPeers(n)
	if len(peers) == 0 {
		return
	}
	data, err := wire.Marshal(a.gossipMessage())
	if err != nil {
		return
	}
	for _, peer := range peers {
		if a.control.Allow(len(data)) {
			_ = peer.SendDatagram(data)
		}
	}
}

// gossipMessage returns the state that the agent sends to its peers.
func (a *Agent) gossipMessage() *wire.Gossip {
	epoch, sequence := a.knownPlan()
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
	return m
}

// randomPeers returns up to n of the connected routers.
func (a *Agent) randomPeers(n int) []*transport.Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	peers := make([]*transport.Conn, 0, len(a.peers))
	for peer := range a.peers {
		peers = append(peers, peer)
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// receiveGossip takes a router's datagrams until the connection ends.
func (a *Agent) receiveGossip(ctx context.Context, conn *transport.Conn) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		var m wire.Gossip
		if wire.Unmarshal(data, &m) != nil {
			continue
		}
		now := time.Now()
		for i := range m.Overflows {
			if b, ok := a.backends[m.Overflows[i].Home]; ok {
				b.noteOverflow(now, &m.Overflows[i])
			}
		}
		if m.Revision > a.book.Revision() {
			a.pullTemplates(ctx, conn)
		}
		if a.planIsNewer(m.PlanEpoch, m.PlanSequence) {
			a.pullPlan(ctx, conn)
		}
	}
}

// pullTemplates reads the templates that this process lacks from a router.
func (a *Agent) pullTemplates(ctx context.Context, conn *transport.Conn) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	from := a.book.Revision()
	m, err := conn.Ask(ctx, &wire.Message{Pull: &wire.Pull{Revision: from}})
	if err != nil || m.Delta == nil {
		return
	}
	a.book.Apply(from, m.Delta.Revision, m.Delta.Templates)
}

const pullTimeout = 3 * time.Second
