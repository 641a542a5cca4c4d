// Package transport sends the messages of package wire between routers and agents over
// QUIC with mutual TLS.
//
// It owns the sockets, the format of the certificates (identity.go) and the rate limit
// for control traffic. A peer is identified by the VM in its certificate, not by its
// address, so the fleet's authority must issue a certificate only to the VM that it
// names.
//
// All errors are of type *Error, except errors of LoadTLSConfig for files that can't be
// read.
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

// A Conn is a connection to an authenticated peer. Its methods are safe for concurrent
// use.
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

// Peer returns the VM in the peer's certificate.
func (c *Conn) Peer() ryeford.VMID { return c.peer }

// Done returns a channel that is closed when the connection is lost or closed.
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

// Serve accepts the streams that the peer opens until the connection or ctx ends. It reads
// the first message of each stream and calls handle in a new goroutine. It closes the
// stream when handle returns, or if there is no first message; the peer then detects that
// it gets no answer.
func (c *Conn) Serve(ctx context.Context, handle func(*Stream, *wire.Message)) {
	for {
		stream, err := c.Accept(ctx)
		if err != nil {
			return // the connection or ctx has ended
		}
		go func() {
			defer stream.Close()
			if m, err := stream.Receive(); err == nil {
				handle(stream, m)
			}
		}()
	}
}

// RoundTrip sends a message on a new stream and returns the answer. It waits until the
// deadline of ctx; cancelling ctx does not end the wait for the answer.
func (c *Conn) RoundTrip(ctx context.Context, m *wire.Message) (*wire.Message, error) {
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

// Fetch sends a message on a new stream and returns the answer, which may take any time to
// transfer. It fails when ctx ends, or when the transfer makes no progress for interval
// (package transfer). The error then wraps the cause of ctx or a *transfer.StallError.
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
		answer, err = wire.ReadMessage(watch.ResponseReader(s.quic))
	}
	if err == nil {
		return answer, nil
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return nil, wrapError("fetch", watch.Interrupted(err))
}

// SendDatagram sends a datagram, which may be lost.
func (c *Conn) SendDatagram(data []byte) error {
	return wrapError("send datagram", c.quic.SendDatagram(data))
}

// ReceiveDatagram returns the next datagram.
func (c *Conn) ReceiveDatagram(ctx context.Context) ([]byte, error) {
	data, err := c.quic.ReceiveDatagram(ctx)
	return data, wrapError("receive datagram", err)
}

// Close closes the connection and sends the reason to the peer. It ignores the error,
// which only means that the connection is closed already.
func (c *Conn) Close(reason string) {
	_ = c.quic.CloseWithError(0, reason)
}

// codeClosed is the error code for closing a side of a stream. It is the only code, since
// peers don't distinguish reasons.
const codeClosed quic.StreamErrorCode = 1

// A Stream carries messages in both directions. One goroutine may send while another one
// receives.
type Stream struct {
	quic *quic.Stream
}

// Send sends a message.
func (s *Stream) Send(m *wire.Message) error {
	return wrapError("send", wire.WriteMessage(s.quic, m))
}

// Reply sends the only answer on a stream and ends the sending side. It ignores a failure
// to send; the peer then detects that it gets no answer.
func (s *Stream) Reply(m *wire.Message) {
	if s.Send(m) == nil {
		s.CloseSend()
	}
}

// Receive returns the next message. The error wraps that of wire.ReadMessage; it is io.EOF
// if the peer has ended its sending side.
func (s *Stream) Receive() (*wire.Message, error) {
	m, err := wire.ReadMessage(s.quic)
	return m, wrapError("receive", err)
}

// SetReadDeadline sets the time until which Receive waits. It can't fail: quic-go always
// returns nil.
func (s *Stream) SetReadDeadline(t time.Time) { _ = s.quic.SetReadDeadline(t) }

// CloseSend ends the sending side after all sent messages. It ignores the error, which
// only means that the side is cancelled or the connection lost.
func (s *Stream) CloseSend() { _ = s.quic.Close() }

// Close ends the sending side like CloseSend, and cancels the receiving side.
func (s *Stream) Close() {
	s.quic.CancelRead(codeClosed)
	_ = s.quic.Close()
}

// abort cancels both sides, including pending transfers.
func (s *Stream) abort() {
	s.quic.CancelRead(codeClosed)
	s.quic.CancelWrite(codeClosed)
}

// An Error is a failure of the transport.
type Error struct {
	Op  string // the failed operation
	Err error
}

// wrapError returns an *Error for op, or nil if err is nil.
func wrapError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Err: err}
}

func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// controlBurst is the maximum burst of control traffic, in seconds of its rate.
const controlBurst = 4

// A ControlLimiter limits and counts the control traffic that a process sends, which is
// gossip. Its methods are safe for concurrent use.
type ControlLimiter struct {
	limiter *rate.Limiter
	count   func(bytes int)
}

// NewControlLimiter returns a ControlLimiter for a rate in bytes per second. It calls count
// with the number of bytes each time Allow returns true.
func NewControlLimiter(bytesPerSecond int, count func(bytes int)) *ControlLimiter {
	return &ControlLimiter{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), controlBurst*bytesPerSecond),
		count:   count,
	}
}

// Allow reports whether a number of bytes may be sent now, and counts them if so.
func (c *ControlLimiter) Allow(bytes int) bool {
	if !c.limiter.AllowN(time.Now(), bytes) {
		return false
	}
	c.count(bytes)
	return true
}
