package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
)

// Refuses reports whether the host at an address answers that nothing listens there: the process
// that did has ended. It is false if a connection opens, and if nothing answers.
func Refuses(ctx context.Context, address netip.AddrPort) bool {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // it was opened for its handshake only
	return false
}

// BrokeOff reports whether an error says that the endpoint's end of a connection is gone: it was
// closed or reset amid a response, or before one. A response that is late or unusable says nothing.
func BrokeOff(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
