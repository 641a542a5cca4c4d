package router

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/route"
)

// An agentList polls the platform's list of VMs, and keeps a connection to each agent
// in it. The list only states which VMs exist. Whether an agent can serve shows on its
// connection.
type agentList struct {
	*sharedState
	dialer *transport.Dialer
	gossip *agentGossip
}

func (l *agentList) run(ctx context.Context) error {
	watches := make(map[ryeford.VMID]*watch)
	for {
		vms, err := l.platform.VMs(ctx)
		if err == nil {
			l.updateWatches(ctx, watches, vms)
		} else if ctx.Err() == nil {
			_ = l.log.Log("msg", "cannot read the platform's list of VMs; keeping the agents of the last list", "err", err)
		}
		if !clock.Sleep(ctx, jitter(l.settings.Polls.VMList)) {
			return nil
		}
	}
}

// A watch maintains the connection to one agent.
type watch struct {
	address netip.AddrPort
	stop    context.CancelFunc
}

// updateWatches starts and stops watches according to the list. An agent whose address
// has changed gets a new watch.
func (l *agentList) updateWatches(ctx context.Context, watches map[ryeford.VMID]*watch, vms []ryeford.VM) {
	listed := make(map[ryeford.VMID]bool)
	for _, vm := range vms {
		if vm.Role != ryeford.RoleAgent {
			continue
		}
		listed[vm.ID] = true
		w, ok := watches[vm.ID]
		if ok && w.address == vm.Address {
			l.fleet.setVM(vm)
			continue
		}
		if ok {
			w.stop()
		}
		watchCtx, stop := context.WithCancel(ctx)
		watches[vm.ID] = &watch{address: vm.Address, stop: stop}
		go l.keepConnected(watchCtx, vm)
	}
	for id, w := range watches {
		if !listed[id] {
			w.stop()
			delete(watches, id)
		}
	}
}

// jitter returns a random duration between 0.75 d and 1.25 d, so that processes that
// started together don't poll at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}

const (
	// dialTimeout limits one attempt to connect to an agent.
	dialTimeout = 3 * time.Second

	// minRedial and maxRedial limit the wait before the next attempt.
	minRedial = 50 * time.Millisecond
	maxRedial = 2 * time.Second

	// stableAfter is how long a connection must last to reset the backoff.
	stableAfter = 10 * time.Second
)

// A redialBackoff is the backoff between connections to one agent. It doubles from
// minRedial to maxRedial, and is reset by a connection that lasted longer than
// stableAfter.
type redialBackoff struct {
	wait time.Duration
}

// next returns how long to wait after a connection, or an attempt to connect, that
// lasted for uptime. The result has no jitter.
func (r *redialBackoff) next(uptime time.Duration) time.Duration {
	if r.wait == 0 || uptime > stableAfter {
		r.wait = minRedial
		return r.wait
	}
	r.wait = min(2*r.wait, maxRedial)
	return r.wait
}

// keepConnected maintains a connection to an agent until ctx ends.
func (l *agentList) keepConnected(ctx context.Context, vm ryeford.VM) {
	var backoff redialBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := l.connect(ctx, vm)
		wait := backoff.next(time.Since(began))
		if ctx.Err() == nil {
			l.decisions.Record("", "decision", "agent_lost", "vm", vm.ID, "failure_domain", vm.FailureDomain, "redial", wait, "err", err)
		}
		clock.Sleep(ctx, jitter(wait))
	}
}

// connect connects to an agent and receives its inventories until the connection is
// lost. It always returns an error.
func (l *agentList) connect(ctx context.Context, vm ryeford.VM) error {
	conn, err := l.dial(ctx, vm)
	if err != nil {
		return err
	}
	defer conn.Close("watch ended")
	stream, err := conn.Open(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close("no longer listed") })
	defer stop()
	defer l.fleet.remove(vm.ID, conn)
	go l.gossip.receive(ctx, conn)
	go conn.Serve(ctx, l.serveStream)
	if err := stream.Send(&wire.Message{Watch: &wire.Watch{Router: l.settings.VM}}); err != nil {
		return err
	}
	for {
		m, err := stream.Receive()
		if err != nil {
			return err
		}
		if m.Inventory != nil {
			l.updateInventory(vm, conn, m.Inventory)
		}
	}
}

// dial returns a connection to the VM. The peer's certificate must name the VM.
func (l *agentList) dial(ctx context.Context, vm ryeford.VM) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dialer.Dial(ctx, vm.Address)
	if err != nil {
		return nil, err
	}
	if conn.Peer() != vm.ID {
		conn.Close("watch ended")
		return nil, &PeerError{Want: vm.ID, Got: conn.Peer()}
	}
	return conn, nil
}

// updateInventory stores the inventory that an agent sent.
func (l *agentList) updateInventory(vm ryeford.VM, conn *transport.Conn, inv *wire.Inventory) {
	l.fleet.put(&agent{vm: vm, conn: conn, inventory: inv})
	l.gossip.sendTo(conn, &wire.Gossip{}) // don't let a new agent wait until gossip selects it
	l.decisions.Record("", "decision", "agent", "vm", vm.ID, "failure_domain", inv.FailureDomain,
		"incarnation", inv.Incarnation, "leaving", inv.Leaving, "engines", len(inv.Engines))
}

// A PeerError reports that a peer's certificate names another VM than the one listed at
// its address.
type PeerError struct {
	Want ryeford.VMID
	Got  ryeford.VMID
}

func (e *PeerError) Error() string {
	return "connected to the address of VM " + string(e.Want) + ", but the peer's certificate names VM " + string(e.Got)
}

// serveStream answers one request of an agent: for templates, for its part of the plan,
// or for the engines that take over its chats.
func (l *agentList) serveStream(stream *transport.Stream, m *wire.Message) {
	switch {
	case m.Pull != nil:
		stream.Reply(&wire.Message{Delta: gossip.NewDelta(l.templateCache, m.Pull.Revision)})
	case m.PullPlan != nil:
		stream.Reply(&wire.Message{Plan: l.plan.PartOf(m.PullPlan.VM)})
	case m.Successors != nil:
		stream.Reply(&wire.Message{Placements: l.successors(m.Successors)})
	}
}

// successors returns which engines take over the chats of a VM that is leaving: for
// each chat the first one in its order that is connected and on another VM. If there is
// none, the placement is empty.
func (l *agentList) successors(s *wire.Successors) *wire.Placements {
	answer := &wire.Placements{Placements: make([]wire.Placement, len(s.Chats))}
	set := l.fleet.pool(s.Pool)
	if set == nil {
		return answer
	}
	var ranking route.Ranking
	for i, chat := range s.Chats {
		set.Rank(route.ChatHash(chat.Account, chat.Chat), route.MaxCandidates, &ranking)
		for _, index := range ranking.Index[:ranking.Len] {
			target := set.Target(int(index))
			if a, ok := l.fleet.agentByVM(target.VM); ok && target.VM != s.Leaving {
				answer.Placements[i] = wire.Placement{Engine: target.Engine, Address: a.vm.Address.String()}
				break
			}
		}
	}
	return answer
}

// An agentGossip exchanges datagrams with the agents. It sends the revision of the
// templates, the version of the plan, and which engine served a chat. It receives
// loads.
type agentGossip struct {
	*sharedState
	control *transport.ControlLimiter
}

// run sends the revision and the plan version to agents until ctx ends.
func (g *agentGossip) run(ctx context.Context) error {
	loop := &gossip.Loop{
		Interval:    g.settings.Transport.GossipInterval,
		Templates:   g.templateCache,
		Decisions:   g.decisions,
		PlanChanged: g.plan.Changed,
		Send:        g.send,
	}
	return loop.Run(ctx)
}

func (g *agentGossip) send(n int) {
	for _, a := range gossip.Sample(g.fleet.list(), n) {
		g.sendTo(a.conn, &wire.Gossip{})
	}
}

// sendOverflow notifies a chat's home which engine served the chat.
func (g *agentGossip) sendOverflow(home, engine ryeford.EngineID, chat wire.ChatKey) {
	a, ok := g.fleet.agentOfEngine(home)
	if !ok {
		return
	}
	g.sendTo(a.conn, &wire.Gossip{Overflows: []wire.Overflow{{Home: home, Chat: chat, Engine: engine}}})
}

// sendTo sends one datagram, with this router's template revision and plan version.
func (g *agentGossip) sendTo(conn *transport.Conn, m *wire.Gossip) {
	m.VM = g.settings.VM
	m.Revision = g.templateCache.Revision()
	m.PlanEpoch, m.PlanSequence = g.plan.Version()
	gossip.Send(g.control, m, conn)
}

// receive handles an agent's datagrams until the connection ends.
func (g *agentGossip) receive(ctx context.Context, conn *transport.Conn) {
	var templates gossip.Puller
	gossip.Receive(ctx, conn, func(m *wire.Gossip) {
		now := time.Now()
		for _, l := range m.Loads {
			g.loads.add(now, l.Model, l.Load)
		}
		if m.Revision > g.templateCache.Revision() {
			templates.Start(func() { gossip.PullNewer(ctx, conn, g.templateCache, m.Revision) })
		}
	})
}
