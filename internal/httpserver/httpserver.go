// Package httpserver runs an HTTP server for as long as a context lasts: the servers of
// metrics, of the router and of the stand-ins, which have no requests to finish when their
// process stops. The gateway's server drains instead (gateway/shutdown).
package httpserver

import (
	"context"
	"net"
	"net/netip"
)

// A Server serves connections: an *http.Server or a *fasthttp.Server.
type Server interface {
	Serve(listener net.Listener) error
}

// ListenAndServe serves the connections to a TCP address as Serve does. Its error is an
// *Error.
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

// An Error says that a server could not run at its address.
type Error struct {
	Address netip.AddrPort
	Err     error
}

func (e *Error) Error() string { return "serve " + e.Address.String() + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// Serve serves a listener's connections until ctx ends, and closes the listener then. It
// returns nil after the end of ctx, and the server's error before. Connections that are
// open at the end stay open: they end with the process, or by the server's own Close.
func Serve(ctx context.Context, listener net.Listener, server Server) error {
	// Closing the listener fails only if it is closed already; Serve returns either way.
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
