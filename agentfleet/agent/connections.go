package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// accept serves connections until ctx ends.
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

// serveConn serves the streams and datagrams of one connection.
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
	for {
		stream, err := conn.Accept(ctx)
		if err != nil {
			return
		}
		go a.serveStream(ctx, conn, stream)
	}
}

// serveStream serves one exchange.
func (a *Agent) serveStream(ctx context.Context, conn *transport.Conn, stream *transport.Stream) {
	defer stream.Close()
	m, err := stream.Receive()
	if err != nil {
		return
	}
	switch {
	case m.Dispatch != nil:
		a.serveDispatch(ctx, stream, m.Dispatch)
	case m.Join != nil:
		a.serveJoin(ctx, stream, m.Join)
	case m.Watch != nil:
		a.serveWatch(ctx, conn, stream)
	case m.Pull != nil:
		revision, templates := a.book.Since(m.Pull.Revision)
		a.answer(stream, &wire.Message{Delta: &wire.Delta{Revision: revision, Templates: templates}})
	case m.Import != nil:
		a.serveImport(ctx, stream, m.Import)
	case m.Explain != nil:
		lines := a.decisions.Lines(m.Explain.Request)
		a.answer(stream, &wire.Message{Decisions: &wire.Decisions{Lines: lines}})
	case m.Leave != nil:
		a.Leave("operator")
		a.answer(stream, &wire.Message{Done: &wire.Done{}})
	}
}

// answer sends the one answer of an exchange.
func (a *Agent) answer(stream *transport.Stream, m *wire.Message) {
	if stream.Send(m) == nil {
		stream.CloseSend()
	}
}

// serveWatch sends the inventory, and again at each change.
func (a *Agent) serveWatch(ctx context.Context, conn *transport.Conn, stream *transport.Stream) {
	for {
		inv, changed := a.inventory()
		if stream.Send(&wire.Message{Inventory: inv}) != nil {
			return
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

// serveImport puts a chat's KV cache from another VM into an engine.
func (a *Agent) serveImport(ctx context.Context, stream *transport.Stream, m *wire.Import) {
	b, ok := a.backends[m.Engine]
	if !ok || b.engine == nil {
		return
	}
	if err := b.engine.ImportCache(ctx, cacheKey(m.Chat), m.Cache); err != nil {
		_ = a.log.Log("msg", "KV cache not imported", "engine", m.Engine, "err", err)
		return
	}
	b.mu.Lock()
	b.chats.add(m.Chat, m.Pool)
	b.mu.Unlock()
	a.answer(stream, &wire.Message{Done: &wire.Done{}})
}

// pollEngines asks the engines what they serve, until ctx ends.
func (a *Agent) pollEngines(ctx context.Context) error {
	after := make(map[ryeford.EngineID]int64)
	ticker := time.NewTicker(a.settings.Polls.Engine)
	defer ticker.Stop()
	for {
		changed := false
		for _, s := range a.settings.Engines {
			b := a.backends[s.ID]
			changed = a.pollServing(ctx, b) || changed
			after[s.ID] = a.pollCache(ctx, b, after[s.ID])
		}
		if changed {
			a.inventoryChanged()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// pollServing asks an engine what it serves and reports whether that changed.
func (a *Agent) pollServing(ctx context.Context, b *backend) bool {
	order, err := b.engine.Serving(ctx)
	changed := b.setServing(err == nil, order.Pools)
	if changed {
		_ = a.decisions.Note("", "decision", "serving", "engine", b.id, "alive", err == nil, "pools", len(order.Pools), "epoch", order.Epoch)
	}
	return changed
}

// pollCache reads an engine's cache events and returns the last one's number.
// A gap costs only a wrong hint.
func (a *Agent) pollCache(ctx context.Context, b *backend, after int64) int64 {
	events, err := b.engine.CacheEvents(ctx, after)
	if err != nil || len(events) == 0 {
		return after
	}
	b.noteCacheEvents(events)
	return events[len(events)-1].Sequence
}

// pollVMs learns from the platform's list that this VM is leaving.
func (a *Agent) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(a.settings.Polls.List)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		vms, err := a.vms.VMs(ctx)
		if err != nil {
			continue
		}
		for _, vm := range vms {
			if vm.ID == a.settings.VM && vm.State == ryeford.VMLeaving {
				a.Leave("list")
			}
		}
	}
}
