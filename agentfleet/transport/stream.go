package transport

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/ryeford/ryeford/agentfleet/wire"
)

// Stream error codes.
const (
	codeClosed quic.StreamErrorCode = 1
)

// A Stream carries messages both ways.
type Stream struct {
	quic *quic.Stream
}

// Send sends a message.
func (s *Stream) Send(m *wire.Message) error {
	if err := wire.WriteMessage(s.quic, m); err != nil {
		return &Error{Op: "send", Err: err}
	}
	return nil
}

// Receive returns the next message.
func (s *Stream) Receive() (*wire.Message, error) {
	m, err := wire.ReadMessage(s.quic)
	if err != nil {
		return nil, &Error{Op: "receive", Err: err}
	}
	return m, nil
}

// SetReadDeadline bounds how long Receive waits.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.quic.SetReadDeadline(t) }

// Context ends when the stream's sending side does.
func (s *Stream) Context() context.Context { return s.quic.Context() }

// CloseSend ends the sending side, after what was sent.
func (s *Stream) CloseSend() { _ = s.quic.Close() }

// Close gives up both sides.
func (s *Stream) Close() {
	s.quic.CancelRead(codeClosed)
	_ = s.quic.Close()
}
