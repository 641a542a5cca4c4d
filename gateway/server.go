package gateway

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/go-kit/log"
)

// maxHeaderBytes is the maximum size of a request's header.
const maxHeaderBytes = 64 << 10

// A server is one HTTP server of the gateway. It speaks HTTP/1.1 only, as callers do.
type server struct {
	http     *http.Server
	listener net.Listener
}

// newServer returns a server that listens on address. Requests inherit the context base. A
// failure is a *ListenError.
func (g *Gateway) newServer(base context.Context, address netip.AddrPort, handler http.Handler) (*server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &server{
		listener: &callerListener{Listener: listener, configuration: g.configuration},
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerPlaceholder,
			IdleTimeout:       idlePlaceholder,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          stdlog.New(&serverLogWriter{log: g.log}, "", 0),
			BaseContext:       func(net.Listener) context.Context { return base },
			Protocols:         protocols,
		},
	}, nil
}

// serve serves requests until the server is closed. It returns nil in that case.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close closes the server immediately. The error, that of closing the listener, is ignored: no more
// connections are accepted either way.
func (s *server) close() { _ = s.http.Close() }

// A ListenError reports that the gateway could not listen on an address.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

func (e *ListenError) Error() string { return "listen on " + e.Address.String() + ": " + e.Err.Error() }

func (e *ListenError) Unwrap() error { return e.Err }

// A serverLogWriter writes the log of net/http's server to the gateway's log.
type serverLogWriter struct {
	log log.Logger
}

func (w *serverLogWriter) Write(line []byte) (int, error) {
	_ = w.log.Log("msg", "http server", "text", strings.TrimSpace(string(line)))
	return len(line), nil
}
