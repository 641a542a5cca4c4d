package router

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/httpserver"
)

const (
	// readTimeout bounds how long a client may take to send a request. Not measured.
	readTimeout = 30 * time.Second

	// idleTimeout is how long a connection without a request is kept. Not measured.
	idleTimeout = 2 * time.Minute
)

// serveHTTP runs an HTTP server, for bodies of maxBody bytes at most, until ctx ends. Its
// error is a *ListenError.
func serveHTTP(ctx context.Context, address netip.AddrPort, maxBody int, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &ListenError{Address: address, Err: err}
	}
	server := &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			writeError(ctx, "", newBadRequest(err, maxBody))
		},
	}
	if err := httpserver.Serve(ctx, listener, server); err != nil {
		return &ListenError{Address: address, Err: err}
	}
	return nil
}

// A ListenError says that a server could not run at its address.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

// Error returns the text of e.
func (e *ListenError) Error() string { return "serve " + e.Address.String() + ": " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *ListenError) Unwrap() error { return e.Err }

// newBadRequest returns the failure of a request that is not HTTP, or is too large.
func newBadRequest(err error, maxBody int) *ryeford.InputError {
	problem := &ryeford.InputError{Field: "request", Problem: "not a valid HTTP request", Status: fasthttp.StatusBadRequest}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		problem.Problem = "body larger than " + strconv.Itoa(maxBody) + " bytes"
		problem.Status = fasthttp.StatusRequestEntityTooLarge
	}
	return problem
}
