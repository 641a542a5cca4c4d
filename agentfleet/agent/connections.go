package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/gossip"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// accept accepts and serves connections until ctx ends or the listener fails.
func (a *Agent) accept(ctx context.Context) error {
	for {
		conn, err := a.listener.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go a.serveConn(ctx, conn)
	}
}

func (a *Agent) serveConn(ctx context.Context, conn *transport.Conn) {
	a.mu.Lock()
	a.peers[conn] = struct{}{}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.peers, conn)
		a.mu.Unlock()
	}()
	go a.receiveGossip(ctx, conn)
	conn.Serve(ctx, func(stream *transport.Stream, m *wire.Message) { a.serveStream(ctx, conn, stream, m) })
}

// serveStream answers the first message of a stream. Messages that an agent does not
// support get no answer.
func (a *Agent) serveStream(ctx context.Context, conn *transport.Conn, stream *transport.Stream, m *wire.Message) {
	switch {
	case m.Dispatch != nil:
		a.serveDispatch(ctx, conn.Peer(), stream, m.Dispatch)
	case m.Join != nil:
		a.serveJoin(ctx, stream, m.Join)
	case m.Watch != nil:
		a.serveWatch(ctx, conn, stream)
	case m.Pull != nil:
		stream.Reply(&wire.Message{Delta: gossip.NewDelta(a.templateCache, m.Pull.Revision)})
	case m.Import != nil:
		a.serveImport(ctx, stream, m.Import)
	case m.Explain != nil:
		lines := a.decisions.Lines(m.Explain.Request)
		stream.Reply(&wire.Message{Decisions: &wire.Decisions{Lines: lines}})
	case m.Leave != nil:
		a.startLeaving("operator")
		stream.Reply(&wire.Message{Done: &wire.Done{}})
	}
}

// inventory returns the state of the agent and a channel that is closed when it changes
// next. A change of loads does not close the channel: loads are sent by gossip.
func (a *Agent) inventory() (*wire.Inventory, <-chan struct{}) {
	a.mu.Lock()
	changed := a.changed
	a.mu.Unlock()
	inv := &wire.Inventory{
		VM:            a.settings.VM,
		Incarnation:   a.incarnation,
		FailureDomain: a.settings.FailureDomain,
		Leaving:       a.leaving.Load(),
	}
	for _, s := range a.settings.Engines {
		inv.Engines = append(inv.Engines, a.backends[s.ID].state())
	}
	for _, s := range a.settings.Services {
		inv.Engines = append(inv.Engines, a.backends[s.ID].state())
	}
	return inv, changed
}

func (a *Agent) inventoryChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Agent) serveWatch(ctx context.Context, conn *transport.Conn, stream *transport.Stream) {
	for {
		inv, changed := a.inventory()
		if stream.Send(&wire.Message{Inventory: inv}) != nil {
			return // the connection is lost; the router sends Watch again on a new one
		}
		select {
		case <-changed:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}

// serveJoin sends the answer of an attempt that may have been admitted before. If the
// attempt belongs to another account or its answer is not retained, it sends a refusal
// that states whether the attempt may have run (joinRefusal).
func (a *Agent) serveJoin(ctx context.Context, stream *transport.Stream, j *wire.Join) {
	refused := &wire.Refused{Attempt: j.Attempt, Incarnation: a.incarnation}
	if j.Incarnation != a.incarnation {
		refused.Reason, refused.MayHaveRun = ryeford.ReasonIncarnation, true
		stream.Reply(&wire.Message{Refused: refused})
		return
	}
	var r *run
	r, refused.Reason, refused.MayHaveRun = a.attempts.join(j)
	if r != nil {
		a.sendAnswer(ctx, stream, r, r.dispatch.Request, j.Offset)
		return
	}
	a.decisions.Record("", "decision", "settle", "attempt", j.Attempt, "reason", refused.Reason, "unknown", refused.MayHaveRun)
	stream.Reply(&wire.Message{Refused: refused})
}

// sendAnswer sends the answer of a run, starting at an offset, until the answer ends or
// the router disconnects. The run may continue without a reader (see run).
func (a *Agent) sendAnswer(ctx context.Context, stream *transport.Stream, r *run, request ryeford.RequestID, offset int64) {
	r.attach()
	defer func() { r.detach(a.settings.Limits.Grace) }()
	admitted := &wire.Admitted{Attempt: r.dispatch.Attempt, Load: r.load, Warm: r.warm, Request: request}
	if stream.Send(&wire.Message{Admitted: admitted}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		// A message is a Cancel of the router; an error means that only this reader left.
		if m, err := stream.Receive(); err == nil && m.Cancel != nil {
			r.cancelIfRepeatable()
		}
	}()
	for {
		chunks, err := r.log.Read(ctx, offset)
		if err != nil {
			return // the router disconnected or requested an invalid offset
		}
		for i := range chunks {
			if stream.Send(&wire.Message{Frame: wire.NewFrame(request, &chunks[i])}) != nil {
				return
			}
			offset++
			if chunks[i].Finish != "" {
				stream.CloseSend()
				return
			}
		}
	}
}

// gossip sends the engines' loads and the template revision to routers until ctx ends.
func (a *Agent) gossip(ctx context.Context) error {
	loop := &gossip.Loop{
		Interval:    a.settings.Transport.GossipInterval,
		Templates:   a.templateCache,
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
		Revision:     a.templateCache.Revision(),
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
	return gossip.Sample(slices.Collect(maps.Keys(a.peers)), n)
}

// receiveGossip processes a router's gossip messages until the connection ends.
func (a *Agent) receiveGossip(ctx context.Context, conn *transport.Conn) {
	var templates, plans gossip.Puller
	gossip.Receive(ctx, conn, func(m *wire.Gossip) {
		now := time.Now()
		for i := range m.Overflows {
			if b, ok := a.backends[m.Overflows[i].Home]; ok {
				b.addOverflow(now, &m.Overflows[i])
			}
		}
		if m.Revision > a.templateCache.Revision() {
			templates.Start(func() { gossip.PullNewer(ctx, conn, a.templateCache, m.Revision) })
		}
		if a.plan.OlderThan(m.PlanEpoch, m.PlanSequence) {
			plans.Start(func() { a.pullNewerPlan(ctx, conn, m) })
		}
	})
}
