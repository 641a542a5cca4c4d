package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/ryeford/ryeford/settings"
)

// A Dialer opens connections from one UDP socket.
type Dialer struct {
	transport *quic.Transport
	tls       *tls.Config
	settings  *settings.Transport
}

// NewDialer returns a Dialer that sends from a local address.
func NewDialer(local netip.Addr, tlsConfig *tls.Config, s *settings.Transport) (*Dialer, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return nil, &Error{Op: "listen", Err: err}
	}
	return &Dialer{
		transport: &quic.Transport{Conn: socket},
		tls:       tlsConfig,
		settings:  s,
	}, nil
}

// Dial connects to an address. The caller must compare Conn.Peer with the expected VM.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	c, err := d.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), d.tls, newQUICConfig(d.settings))
	if err != nil {
		return nil, &Error{Op: "dial " + address.String(), Err: err}
	}
	return newConn(c), nil
}

// Close closes all connections and the socket.
func (d *Dialer) Close() error {
	return errors.Join(d.transport.Close(), d.transport.Conn.Close())
}

// A Listener accepts connections on a UDP socket.
type Listener struct {
	quic *quic.Listener
}

// Listen returns a Listener on a UDP address. Port 0 selects a free port.
func Listen(address netip.AddrPort, tlsConfig *tls.Config, s *settings.Transport) (*Listener, error) {
	l, err := quic.ListenAddr(address.String(), tlsConfig, newQUICConfig(s))
	if err != nil {
		return nil, &Error{Op: "listen " + address.String(), Err: err}
	}
	return &Listener{quic: l}, nil
}

// Accept returns the next connection from an authenticated peer.
func (l *Listener) Accept(ctx context.Context) (*Conn, error) {
	c, err := l.quic.Accept(ctx)
	if err != nil {
		return nil, &Error{Op: "accept", Err: err}
	}
	return newConn(c), nil
}

// Address returns the local address.
func (l *Listener) Address() netip.AddrPort {
	return l.quic.Addr().(*net.UDPAddr).AddrPort()
}

// Close closes the listener and its connections.
func (l *Listener) Close() error { return l.quic.Close() }

// protocol is the ALPN protocol name.
const protocol = "ryeford/1"

// Limits of a connection.
const (
	handshakeTimeout = 3 * time.Second
	maxStreams       = 1 << 16   // open streams per peer
	streamWindow     = 64 << 10  // initial flow control window of a stream, in bytes
	connectionWindow = 256 << 10 // initial flow control window of a connection, in bytes
	maxWindow        = 8 << 20   // maximum of both windows, in bytes
)

// newQUICConfig returns the QUIC configuration for dialers and listeners.
func newQUICConfig(s *settings.Transport) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 s.IdleTimeout,
		KeepAlivePeriod:                s.KeepAlive,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxWindow,
		EnableDatagrams:                true,
		// Messages are small, so larger packets are not worth the probes, which would be
		// sent on idle connections too.
		DisablePathMTUDiscovery: true,
	}
}
