package agent

import (
	"context"

	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// serveImport puts a chat's KV cache from another VM into an engine. Without an
// answer the other agent counts the chat as not handed on.
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
	stream.Reply(&wire.Message{Done: &wire.Done{}})
}
