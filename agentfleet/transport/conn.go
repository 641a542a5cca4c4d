// Package transport carries the messages of package wire between routers and agents
// over QUIC with mutual TLS.
//
// It owns the sockets, the certificates' form (identity.go) and the budget of control
// traffic. It relies on the fleet's authority to issue a certificate only to the VM
// that it names: a peer is the VM in its certificate, whatever its address.
//
// Its errors are *Error, but for the files of LoadTLSConfig.
package transport

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/internal/transfer"
)

// A Conn is a connection to a peer whose certificate names its VM. Its methods may be
// called concurrently.
type Conn struct {
	quic *quic.Conn
	peer ryeford.VMID
}

func newConn(c *quic.Conn) *Conn {
	conn := &Conn{quic: c}
	if certs := c.ConnectionState().TLS.PeerCertificates; len(certs) > 0 {
		conn.peer = ryeford.VMID(certs[0].Subject.CommonName)
	}
	return conn
}

// Peer returns the VM that the peer's certificate names.
func (c *Conn) Peer() ryeford.VMID { return c.peer }

// Done is closed once the connection is lost or closed.
func (c *Conn) Done() <-chan struct{} { return c.quic.Context().Done() }

// Open opens a stream to the peer.
func (c *Conn) Open(ctx context.Context) (*Stream, error) {
	s, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, &Error{Op: "open stream", Err: err}
	}
	return &Stream{quic: s}, nil
}

// Accept returns the next stream that the peer opens.
func (c *Conn) Accept(ctx context.Context) (*Stream, error) {
	s, err := c.quic.AcceptStream(ctx)
	if err != nil {
		return nil, &Error{Op: "accept stream", Err: err}
	}
	return &Stream{quic: s}, nil
}

// Serve calls serve, in a goroutine each, with the streams that the peer opens and the
// message that each begins with, until the connection or ctx ends. A stream is closed when
// serve returns, and one that ends before a message without it: the peer sees that it got
// no answer.
func (c *Conn) Serve(ctx context.Context, handle func(*Stream, *wire.Message)) {
	for {
		stream, err := c.Accept(ctx)
		if err != nil {
			return // the connection, or ctx, has ended
		}
		go func() {
			defer stream.Close()
			if m, err := stream.Receive(); err == nil {
				handle(stream, m)
			}
		}()
	}
}

// Ask sends one message on a new stream of c and returns the answer. It waits until
// the deadline of ctx; to cancel ctx does not end the wait for the answer.
func (c *Conn) Ask(ctx context.Context, m *wire.Message) (*wire.Message, error) {
	s, err := c.Open(ctx)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if deadline, ok := ctx.Deadline(); ok {
		s.SetReadDeadline(deadline)
	}
	if err := s.Send(m); err != nil {
		return nil, err
	}
	return s.Receive()
}

// Fetch sends one message on a new stream of c and returns the answer, however large it is.
// It gives up once ctx ends or the transfer makes no progress for interval (package
// transfer). The error then wraps ctx's cause or a *transfer.StallError.
func (c *Conn) Fetch(ctx context.Context, m *wire.Message, interval time.Duration) (*wire.Message, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := transfer.NewWatch(0, interval, cancel)
	defer watch.Stop()
	s, err := c.Open(ctx)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.abort)
	defer stop()
	var answer *wire.Message
	if err = wire.WriteMessage(s.quic, m); err == nil {
		answer, err = wire.ReadMessage(watch.Reader(s.quic))
	}
	if err == nil {
		return answer, nil
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return nil, wrapError("fetch", watch.Broken(err))
}

// SendDatagram sends a datagram, which may be lost on the way.
func (c *Conn) SendDatagram(data []byte) error {
	return wrapError("send datagram", c.quic.SendDatagram(data))
}

// ReceiveDatagram returns the next datagram.
func (c *Conn) ReceiveDatagram(ctx context.Context) ([]byte, error) {
	data, err := c.quic.ReceiveDatagram(ctx)
	return data, wrapError("receive datagram", err)
}

// Close closes the connection and sends the peer the reason. An error would say that
// the connection was closed before.
func (c *Conn) Close(reason string) {
	_ = c.quic.CloseWithError(0, reason)
}

// codeClosed is the error code with which a side of a stream is given up. It is the only
// one: a peer need not know more.
const codeClosed quic.StreamErrorCode = 1

// A Stream carries messages both ways. One goroutine may send while another one
// receives.
type Stream struct {
	quic *quic.Stream
}

// Send sends a message.
func (s *Stream) Send(m *wire.Message) error {
	return wrapError("send", wire.WriteMessage(s.quic, m))
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
	return m, wrapError("receive", err)
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

// abort gives both sides up, also what is being sent and received.
func (s *Stream) abort() {
	s.quic.CancelRead(codeClosed)
	s.quic.CancelWrite(codeClosed)
}

// An Error is a failure of the transport.
type Error struct {
	Op  string // what failed
	Err error
}

// failed returns the failure of op, or nil if err is nil.
func wrapError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Err: err}
}

func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// controlBurst is for how many seconds of its rate a process may send control traffic
// at once.
const controlBurst = 4

// A ControlLimiter bounds and counts the control traffic that a process sends: gossip. Its
// methods may be called concurrently.
type ControlLimiter struct {
	limiter *rate.Limiter
	count   func(bytes int)
}

// NewControlLimiter returns a ControlLimiter of so many bytes a second. It calls count with the
// bytes that may be sent, each time.
func NewControlLimiter(bytesPerSecond int, count func(bytes int)) *ControlLimiter {
	return &ControlLimiter{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), controlBurst*bytesPerSecond),
		count:   count,
	}
}

// Allow takes bytes from the budget, or reports false if too few are left.
func (c *ControlLimiter) Allow(bytes int) bool {
	if !c.limiter.AllowN(time.Now(), bytes) {
		return false
	}
	c.count(bytes)
	return true
}
