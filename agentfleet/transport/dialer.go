package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/quic-go/quic-go"
)

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

// Dial connects to an address. The caller compares Conn.Peer with the VM that it
// expects there.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	c, err := d.transport.Dial(ctx, net.UDPAddrFromAddrPort(address), d.tls, d.options.quicConfig())
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
