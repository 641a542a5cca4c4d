// Package httpserver runs an HTTP server until a context ends, without draining it. It is for
// the servers of metrics, the router and the stand-ins; the gateway's server drains its
// requests instead (gateway/shutdown).
package httpserver

import (
	"context"
	"net"
	"net/netip"
)

// A Server is an *http.Server or a *fasthttp.Server.
type Server interface {
	Serve(listener net.Listener) error
}

// ListenAndServe listens on a TCP address and calls Serve. Its error is an *Error.
func ListenAndServe(ctx context.Context, address netip.AddrPort, server Server) error {
	listener, err := net.Listen("tcp", address.String())
	if err == nil {
		err = Serve(ctx, listener, server)
	}
	if err != nil {
		return &Error{Address: address, Err: err}
	}
	return nil
}

// An Error reports that a server failed to listen or serve at its address.
type Error struct {
	Address netip.AddrPort
	Err     error
}

func (e *Error) Error() string { return "serve " + e.Address.String() + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// Serve serves a listener's connections until ctx ends, and then closes the listener. It
// returns nil if ctx has ended, and the server's error otherwise. Open connections are not
// closed: they end with the process, or by the server's Close method.
func Serve(ctx context.Context, listener net.Listener, server Server) error {
	// Closing fails only if the listener is closed already; Serve returns in both cases.
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := server.Serve(&retryingListener{Listener: listener, ctx: ctx})
	if ctx.Err() != nil {
		return nil
	}
	return err
}
