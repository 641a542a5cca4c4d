package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

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
		return nil, &Error{Op: "dial", Address: address, Err: err}
	}
	return newConn(c), nil
}

// Close closes the socket and all connections. It returns the first error.
func (d *Dialer) Close() error {
	err := d.transport.Close()
	if closeErr := d.transport.Conn.Close(); err == nil {
		err = closeErr
	}
	return err
}
