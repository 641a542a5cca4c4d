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

// Limits of the export.
const (
	exportTimeout     = 20 * time.Second // for the whole export
	exportDialTimeout = 2 * time.Second  // for one connection
	exportChats       = 2000             // per pool and engine
	exportBatchSize   = 200              // chats in one message to the router
)

// exportCaches sends the KV caches of the most recently served chats to the engines
// that a router names as their next candidates. The next request of a chat that is not
// exported needs a full prefill.
func (a *Agent) exportCaches(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	routers := a.randomPeers(1)
	if len(routers) == 0 {
		_ = a.log.Log("msg", "cannot export KV caches to other VMs; draining continues without the export", "err", "no router is connected")
		return
	}
	dialer, err := transport.NewDialer(a.settings.Listen.Addr(), a.tls, &a.settings.Transport)
	if err != nil {
		_ = a.log.Log("msg", "cannot export KV caches to other VMs; draining continues without the export", "err", err)
		return
	}
	defer func() { _ = dialer.Close() }() // all exports have been confirmed
	e := &exporter{agent: a, router: routers[0], dialer: dialer, conns: make(map[netip.AddrPort]*transport.Conn)}
	for _, b := range a.backends {
		if b.engine != nil {
			e.exportBackend(ctx, b)
		}
	}
	a.decisions.Record("", "decision", "export", "exported", e.exported, "failed", e.failed)
}

// An exporter sends KV caches to other VMs.
type exporter struct {
	agent    *Agent
	router   *transport.Conn
	dialer   *transport.Dialer
	conns    map[netip.AddrPort]*transport.Conn
	exported int
	failed   int
}

// exportBackend exports the most recently served chats of an engine.
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

// exportBatch exports chats of one engine and pool. Failures are counted but not logged
// one by one, since a lost router or VM fails many chats for the same reason.
func (e *exporter) exportBatch(ctx context.Context, b *backend, pool ryeford.Pool, chats []wire.ChatKey) {
	request := &wire.Successors{Pool: pool, Chats: chats, Leaving: e.agent.settings.VM}
	m, err := e.router.RoundTrip(ctx, &wire.Message{Successors: request})
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

// exportChat sends the KV cache of one chat to another agent, and reports whether that
// agent confirmed it. The address is empty if the chat has no successor.
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
	m, err := conn.RoundTrip(ctx, &wire.Message{Import: &wire.Import{Engine: to.Engine, Chat: chat, Cache: cache, Pool: pool}})
	return err == nil && m.Done != nil
}

// connect returns a connection to another agent. It reuses an open connection.
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

// serveImport imports a chat's KV cache from another VM into an engine. It does not answer
// after a failure; the other agent then counts the export of the chat as failed.
func (a *Agent) serveImport(ctx context.Context, stream *transport.Stream, m *wire.Import) {
	b, ok := a.backends[m.Engine]
	if !ok || b.engine == nil {
		return
	}
	if err := b.engine.ImportCache(ctx, cacheKey(m.Chat), m.Cache); err != nil {
		_ = a.log.Log("msg", "cannot import a chat's KV cache into the engine; the chat's next request needs a full prefill", "engine", m.Engine, "err", err)
		return
	}
	b.mu.Lock()
	b.chats.add(m.Chat, m.Pool)
	b.mu.Unlock()
	stream.Reply(&wire.Message{Done: &wire.Done{}})
}
