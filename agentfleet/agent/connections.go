package agent

import (
	"context"

	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// accept serves connections until ctx ends or the listener fails.
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
			return // the connection, or ctx, has ended
		}
		go a.serveStream(ctx, conn, stream)
	}
}

// serveStream answers the one message that a stream begins with. A stream that ends
// before it, or brings another message, is closed without an answer.
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
		stream.Reply(&wire.Message{Delta: &wire.Delta{Revision: revision, Templates: templates}})
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
