// Package transport carries messages between the system's processes over QUIC
// with mutual TLS.
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"golang.org/x/time/rate"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/settings"
)

const (
	protocol         = "ryeford/1"
	maxStreams       = 1 << 16
	handshakeTimeout = 3 * time.Second
	streamWindow     = 64 << 10
	connectionWindow = 256 << 10
	maxWindow        = 8 << 20
)

// Stream error codes.
const (
	codeClosed quic.StreamErrorCode = 1
)

// Options are the settings of connections.
type Options struct {
	// IdleTimeout is after how long without a sign of life a peer is lost.
	IdleTimeout time.Duration
	// KeepAlive is how often an idle connection is probed.
	KeepAlive time.Duration
}

// NewOptions returns the Options that settings ask for.
func NewOptions(s *settings.Transport) Options {
	return Options{IdleTimeout: s.IdleTimeout, KeepAlive: s.KeepAlive}
}

// A Control bounds and counts the control traffic that a process sends.
type Control struct {
	limiter *rate.Limiter
	count   func(bytes int)
}

// NewControl returns a Control of so many bytes a second. It reports the bytes
// that are sent to count.
func NewControl(bytesPerSecond int, count func(bytes int)) *Control {
	return &Control{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), 4*bytesPerSecond),
		count:   count,
	}
}

// Allow takes bytes of the budget, or reports that it is spent.
func (c *Control) Allow(bytes int) bool {
	if !c.limiter.AllowN(time.Now(), bytes) {
		return false
	}
	c.count(bytes)
	return true
}

// quicConfig returns the QUIC settings of both ends.
func (o *Options) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 o.IdleTimeout,
		KeepAlivePeriod:                o.KeepAlive,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxWindow,
		EnableDatagrams:                true,
		// Messages are small, and each probe for a larger packet goes along with a
		// keep-alive of an idle connection.
		DisablePathMTUDiscovery: true,
	}
}

// A Listener accepts connections.
type Listener struct {
	quic *quic.Listener
}

// Listen returns a Listener on a UDP address.
func Listen(address netip.AddrPort, tlsConfig *tls.Config, options Options) (*Listener, error) {
	l, err := quic.ListenAddr(address.String(), tlsConfig, options.quicConfig())
	if err != nil {
		return nil, &Error{Op: "listen", Address: address, Err: err}
	}
	return &Listener{quic: l}, nil
}

// Accept returns the next connection whose peer proved its identity.
func (l *Listener) Accept(ctx context.Context) (*Conn, error) {
	c, err := l.quic.Accept(ctx)
	if err != nil {
		return nil, &Error{Op: "accept", Err: err}
	}
	return newConn(c), nil
}

// Address returns the address that l listens on.
func (l *Listener) Address() netip.AddrPort {
	return l.quic.Addr().(*net.UDPAddr).AddrPort()
}

// Close closes the listener and its connections.
func (l *Listener) Close() error { return l.quic.Close() }

// A Dialer opens connections, all from one UDP socket.
type Dialer struct {
	transport *quic.Transport
	tls       *tls.Config
	options   Options
}

// NewDialer returns a Dialer that sends from a local address.
func NewDialer(local netip.Addr, tlsConfig *tls.Config, options Options) (*Dialer, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return nil, &Error{Op: "listen", Err: err}
	}
	return &Dialer{
		transport: &quic.Transport{Conn: socket},
		tls:       tlsConfig,
		options:   options,
	}, nil
}

// Dial connects to an address.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	c, err := d.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), d.tls, d.options.quicConfig())
	if err != nil {
		return nil, &Error{Op: "dial", Address: address, Err: err}
	}
	return newConn(c), nil
}

// Close closes the socket and all connections.
func (d *Dialer) Close() error {
	err := d.transport.Close()
	if closeErr := d.transport.Conn.Close(); err == nil {
		err = closeErr
	}
	return err
}

// A Conn is a connection to a peer whose certificate names its VM.
type Conn struct {
	quic *quic.Conn
	peer ryeford.VMID
}

// newConn returns a Conn of an established QUIC connection.
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

// SendDatagram sends a datagram. It may be lost.
func (c *Conn) SendDatagram(data []byte) error {
	if err := c.quic.SendDatagram(data); err != nil {
		return &Error{Op: "send datagram", Err: err}
	}
	return nil
}

// ReceiveDatagram returns the next datagram.
func (c *Conn) ReceiveDatagram(ctx context.Context) ([]byte, error) {
	data, err := c.quic.ReceiveDatagram(ctx)
	if err != nil {
		return nil, &Error{Op: "receive datagram", Err: err}
	}
	return data, nil
}

// Stats returns the bytes that the connection sent and received.
func (c *Conn) Stats() (sent, received uint64) {
	stats := c.quic.ConnectionStats()
	return stats.BytesSent, stats.BytesReceived
}

// Close closes the connection and says why.
func (c *Conn) Close(why string) {
	_ = c.quic.CloseWithError(0, why)
}

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

// Ask sends one message on a new stream of c and returns the answer.
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
