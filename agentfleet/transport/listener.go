package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"github.com/quic-go/quic-go"

	"github.com/ryeford/ryeford/settings"
)

// A Listener accepts connections on a UDP socket of its own.
type Listener struct {
	quic *quic.Listener
}

// Listen returns a Listener on a UDP address; port 0 is any free one.
func Listen(address netip.AddrPort, tlsConfig *tls.Config, s *settings.Transport) (*Listener, error) {
	l, err := quic.ListenAddr(address.String(), tlsConfig, newQUICConfig(s))
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
