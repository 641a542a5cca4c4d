package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
)

// RefusesConnections reports whether a connection to an address is refused, which means that no process
// listens there. It is false if the connection opens, and if the host does not answer.
func RefusesConnections(ctx context.Context, address netip.AddrPort) bool {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return ConnectionRefused(err)
	}
	_ = conn.Close() // only the handshake matters
	return false
}

// ConnectionRefused reports whether an error means that no process listens at the endpoint's address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ConnectionBroken reports whether an error means that the endpoint closed or reset a connection before the
// end of a response. It is false for late and for unusable responses.
func ConnectionBroken(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
