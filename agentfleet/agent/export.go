package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	exportTimeout  = 20 * time.Second
	exportChats    = 2000 // of each pool and engine
	exportBatch    = 200
	exportDialTime = 2 * time.Second
)

// exportCaches hands the KV caches of the chats that were served last to the
// engines that are next in their order.
func (a *Agent) exportCaches(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	peers := a.randomPeers(1)
	dialer, err := transport.NewDialer(a.settings.Listen.Addr(), a.tls, a.settings.Transport.Options())
	if err != nil || len(peers) == 0 {
		return
	}
	defer func() { _ = dialer.Close() }()
	e := &exporter{agent: a, router: peers[0], dialer: dialer, conns: make(map[netip.AddrPort]*transport.Conn)}
	for _, b := range a.backends {
		if b.engine == nil {
			continue
		}
		b.mu.Lock()
		recent := b.chats.recent(exportChats)
		b.mu.Unlock()
		for pool, chats := range recent {
			e.exportPool(ctx, b, pool, chats)
		}
	}
	_ = a.decisions.Note("", "decision", "export", "exported", e.exported, "failed", e.failed)
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

// exportPool hands on the chats of one engine and pool, in batches.
func (e *exporter) exportPool(ctx context.Context, b *backend, pool ryeford.Pool, chats []wire.ChatKey) {
	for len(chats) > 0 {
		batch := chats[:min(exportBatch, len(chats))]
		chats = chats[len(batch):]
		question := &wire.Successors{Pool: pool, Chats: batch, Leaving: e.agent.settings.VM}
		m, err := e.router.Ask(ctx, &wire.Message{Successors: question})
		if err != nil || m.Placements == nil || len(m.Placements.Placements) != len(batch) {
			e.failed += len(batch)
			continue
		}
		for i, placement := range m.Placements.Placements {
			if e.exportChat(ctx, b, pool, batch[i], placement) {
				e.exported++
			} else {
				e.failed++
			}
		}
	}
}

// exportChat hands one chat's KV cache on.
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

// connect returns a connection to another agent.
func (e *exporter) connect(ctx context.Context, address netip.AddrPort) (*transport.Conn, error) {
	if conn, ok := e.conns[address]; ok {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, exportDialTime)
	defer cancel()
	conn, err := e.dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	e.conns[address] = conn
	return conn, nil
}
