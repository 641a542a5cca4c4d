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

// serveHTTP runs an HTTP server until ctx ends. Its error is a *ListenError.
func (r *Router) serveHTTP(ctx context.Context, address netip.AddrPort, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &ListenError{Address: address, Err: err}
	}
	server := &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    r.settings.Limits.MaxBody,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler:          r.serveBadRequest,
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

// serveBadRequest answers a request that is not HTTP, or is too large.
func (r *Router) serveBadRequest(ctx *fasthttp.RequestCtx, err error) {
	problem := &ryeford.InputError{Field: "request", Problem: "not a valid HTTP request", Status: fasthttp.StatusBadRequest}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		problem.Problem = "body larger than " + strconv.Itoa(r.settings.Limits.MaxBody) + " bytes"
		problem.Status = fasthttp.StatusRequestEntityTooLarge
	}
	writeError(ctx, "", problem)
}
