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

// A Dialer opens connections, all from one UDP socket.
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

// Dial connects to an address. The caller compares Conn.Peer with the VM that it
// expects there.
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

// A Listener accepts connections on a UDP socket of its own.
type Listener struct {
	quic *quic.Listener
}

// Listen returns a Listener on a UDP address; port 0 is any free one.
func Listen(address netip.AddrPort, tlsConfig *tls.Config, s *settings.Transport) (*Listener, error) {
	l, err := quic.ListenAddr(address.String(), tlsConfig, newQUICConfig(s))
	if err != nil {
		return nil, &Error{Op: "listen " + address.String(), Err: err}
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

// protocol is the name of the protocol in the TLS handshake.
const protocol = "ryeford/1"

// The bounds of a connection.
const (
	handshakeTimeout = 3 * time.Second
	maxStreams       = 1 << 16   // that a peer may have open at once
	streamWindow     = 64 << 10  // bytes of a stream in flight, at first
	connectionWindow = 256 << 10 // bytes of all streams in flight, at first
	maxWindow        = 8 << 20   // bytes up to which both may grow
)

// newQUICConfig returns the QUIC settings of both ends. What the keep-alives of idle
// connections cost: docs/CAPACITY.md, S10 and S11.
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
		// Messages are small, and each probe for a larger packet goes along with a
		// keep-alive of an idle connection.
		DisablePathMTUDiscovery: true,
	}
}
