package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"

	"github.com/go-kit/log"
)

// maxHeaderBytes is how large a request's header may be. Not measured.
const maxHeaderBytes = 64 << 10

// A server is one HTTP server of the gateway.
type server struct {
	http     *http.Server
	listener net.Listener
}

// newServer returns a server that is bound to its address. Requests inherit base.
// A failure is a *ListenError.
func newServer(base context.Context, address netip.AddrPort, handler http.Handler, timeouts callerTimeouts, logger log.Logger) (*server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	return &server{
		listener: &callerListener{Listener: listener, timeouts: timeouts},
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerMark,
			IdleTimeout:       idleMark,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          newServerLog(logger),
			BaseContext:       func(net.Listener) context.Context { return base },
			// HTTP/1.1 only, as callers speak it.
			Protocols: http1(),
		},
	}, nil
}

// http1 returns the set of protocols that are served.
func http1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// serve serves until the server is closed.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close ends a server at once. Its error is one of closing the listener, after
// which no connection comes either way.
func (s *server) close() { _ = s.http.Close() }

// A ListenError says that a server could not be bound to its address.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

// Error returns the text of e.
func (e *ListenError) Error() string { return "listen on " + e.Address.String() + ": " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *ListenError) Unwrap() error { return e.Err }
