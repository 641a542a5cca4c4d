package transport

import (
	"time"

	"github.com/quic-go/quic-go"

	"github.com/ryeford/ryeford/agentfleet/wire"
)

// codeClosed is the error code with which a stream's reading side is given up. It is
// the only one: a peer need not know more.
const codeClosed quic.StreamErrorCode = 1

// A Stream carries messages both ways. One goroutine may send while another one
// receives.
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

// Reply sends the only message that answers a stream, and ends the sending side. If it
// can't be sent, the connection is lost, and the peer sees that it got no answer.
func (s *Stream) Reply(m *wire.Message) {
	if s.Send(m) == nil {
		s.CloseSend()
	}
}

// Receive returns the next message. Its error wraps io.EOF if the peer has ended its
// sending side, and those of wire.ReadMessage.
func (s *Stream) Receive() (*wire.Message, error) {
	m, err := wire.ReadMessage(s.quic)
	if err != nil {
		return nil, &Error{Op: "receive", Err: err}
	}
	return m, nil
}

// SetReadDeadline bounds how long Receive waits. It can't fail: quic-go always
// returns nil.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.quic.SetReadDeadline(t) }

// CloseSend ends the sending side, after what was sent. An error would say that the
// side was cancelled or the connection lost, which ends it as well.
func (s *Stream) CloseSend() { _ = s.quic.Close() }

// Close ends the sending side as CloseSend does, and gives the receiving side up.
func (s *Stream) Close() {
	s.quic.CancelRead(codeClosed)
	_ = s.quic.Close()
}
