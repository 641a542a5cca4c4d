package agent

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// The bounds of the export.
const (
	exportTimeout     = 20 * time.Second // of the whole export
	exportDialTimeout = 2 * time.Second  // of one connection
	exportChats       = 2000             // of each pool and engine
	exportBatchSize   = 200              // chats in one message to the router
)

// exportCaches hands the KV caches of the chats that were served last to the
// engines that are next in their order, as a router knows it. A chat that is not
// handed on costs its next request the time to build the prefix again.
func (a *Agent) exportCaches(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	routers := a.randomPeers(1)
	if len(routers) == 0 {
		_ = a.log.Log("msg", "could not export KV caches to other VMs; draining continues without the export", "err", "no router is connected")
		return
	}
	dialer, err := transport.NewDialer(a.settings.Listen.Addr(), a.tls, &a.settings.Transport)
	if err != nil {
		_ = a.log.Log("msg", "could not export KV caches to other VMs; draining continues without the export", "err", err)
		return
	}
	defer func() { _ = dialer.Close() }() // what was sent is confirmed; the process ends
	e := &exporter{agent: a, router: routers[0], dialer: dialer, conns: make(map[netip.AddrPort]*transport.Conn)}
	for _, b := range a.backends {
		if b.engine != nil {
			e.exportBackend(ctx, b)
		}
	}
	a.decisions.Record("", "decision", "export", "exported", e.exported, "failed", e.failed)
}

// An exporter hands KV caches to other VMs.
type exporter struct {
	agent    *Agent
	router   *transport.Conn
	dialer   *transport.Dialer
	conns    map[netip.AddrPort]*transport.Conn
	exported int
	failed   int
}

// exportBackend hands on the chats that an engine served last, by pool.
func (e *exporter) exportBackend(ctx context.Context, b *backend) {
	b.mu.Lock()
	chatsByPool := b.chats.mostRecent(exportChats)
	b.mu.Unlock()
	for pool, chats := range chatsByPool {
		for batch := range slices.Chunk(chats, exportBatchSize) {
			e.exportBatch(ctx, b, pool, batch)
		}
	}
}

// exportBatch hands on chats of one engine and pool. A chat that fails is counted;
// the causes are not logged, since a lost router or VM fails them all alike.
func (e *exporter) exportBatch(ctx context.Context, b *backend, pool ryeford.Pool, chats []wire.ChatKey) {
	request := &wire.Successors{Pool: pool, Chats: chats, Leaving: e.agent.settings.VM}
	m, err := e.router.Ask(ctx, &wire.Message{Successors: request})
	if err != nil || m.Placements == nil || len(m.Placements.Placements) != len(chats) {
		e.failed += len(chats)
		return
	}
	for i, placement := range m.Placements.Placements {
		if e.exportChat(ctx, b, pool, chats[i], placement) {
			e.exported++
		} else {
			e.failed++
		}
	}
}

// exportChat hands one chat's KV cache on, and reports whether the other agent
// confirmed it. A chat without a successor has no address.
func (e *exporter) exportChat(ctx context.Context, b *backend, pool ryeford.Pool, chat wire.ChatKey, to wire.Placement) bool {
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		return false
	}
	cache, err := b.engine.ExportCache(ctx, cacheKey(chat))
	if err != nil {
		return false
	}
	conn, err := e.connect(ctx, address)
	if err != nil {
		return false
	}
	m, err := conn.Ask(ctx, &wire.Message{Import: &wire.Import{Engine: to.Engine, Chat: chat, Cache: cache, Pool: pool}})
	return err == nil && m.Done != nil
}

// connect returns a connection to another agent, the open one if there is one.
func (e *exporter) connect(ctx context.Context, address netip.AddrPort) (*transport.Conn, error) {
	if conn, ok := e.conns[address]; ok {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, exportDialTimeout)
	defer cancel()
	conn, err := e.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	e.conns[address] = conn
	return conn, nil
}

// serveImport puts a chat's KV cache from another VM into an engine. Without an
// answer the other agent counts the chat as not handed on.
func (a *Agent) serveImport(ctx context.Context, stream *transport.Stream, m *wire.Import) {
	b, ok := a.backends[m.Engine]
	if !ok || b.engine == nil {
		return
	}
	if err := b.engine.ImportCache(ctx, cacheKey(m.Chat), m.Cache); err != nil {
		_ = a.log.Log("msg", "could not import a chat's KV cache into the engine; the chat's next request needs a full prefill", "engine", m.Engine, "err", err)
		return
	}
	b.mu.Lock()
	b.chats.add(m.Chat, m.Pool)
	b.mu.Unlock()
	stream.Reply(&wire.Message{Done: &wire.Done{}})
}
