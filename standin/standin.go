// Package standin holds small stand-ins of the systems around the fleet: the
// platform, model engines, plain services and links. They exist for tests, for
// measurements and for `ryeford dev`; each has knobs for the faults that the
// real thing shows.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"os"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/emulator"
)

// The paths by which tests reach into a stand-in.
const (
	PathFault = "/fault"
	PathRuns  = "/runs"
)

// A handler is a stand-in that speaks HTTP.
type handler interface {
	serve(ctx *fasthttp.RequestCtx)
}

// Run runs all stand-ins of the settings until ctx ends.
func Run(ctx context.Context, s *settings.Standin, logger log.Logger) error {
	group, ctx := errgroup.WithContext(ctx)
	if s.Platform != nil {
		p, err := newPlatform(s.Platform)
		if err != nil {
			return err
		}
		group.Go(func() error { return serve(ctx, s.Platform.Address, p) })
	}
	for i := range s.Engines {
		e := newEngine(&s.Engines[i])
		group.Go(func() error { return serve(ctx, s.Engines[i].Address, e) })
	}
	for i := range s.Services {
		service := newService(&s.Services[i])
		group.Go(func() error { return serve(ctx, s.Services[i].Address, service) })
	}
	for i := range s.Links {
		link, err := newLink(&s.Links[i])
		if err != nil {
			return err
		}
		group.Go(func() error { return link.run(ctx) })
		group.Go(func() error { return serve(ctx, s.Links[i].Admin, link) })
	}
	if s.Emulator != nil {
		e, err := newEmulator(s.Emulator)
		if err != nil {
			return err
		}
		group.Go(func() error { return e.Run(ctx) })
	}
	_ = logger.Log("msg", "stand-ins ready", "engines", len(s.Engines), "services", len(s.Services), "links", len(s.Links))
	return group.Wait()
}

// newEmulator returns the stand-in of the users' platform.
func newEmulator(s *settings.Emulator) (*emulator.Emulator, error) {
	if s.Configuration == "" {
		return emulator.New(s, nil), nil
	}
	configuration, err := os.ReadFile(s.Configuration)
	if err != nil {
		return nil, &Error{Op: "read the configuration", Err: err}
	}
	return emulator.New(s, configuration), nil
}

// serve runs an HTTP server until ctx ends.
func serve(ctx context.Context, address settings.Address, h handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &Error{Op: "listen", Err: err}
	}
	server := &fasthttp.Server{
		Handler:               h.serve,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    64 << 20,
		StreamRequestBody:     false,
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return &Error{Op: "serve", Err: err}
}

// An Error is a failure of a stand-in.
type Error struct {
	Op  string
	Err error
}

// Error returns the text of e.
func (e *Error) Error() string { return "stand-in: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *Error) Unwrap() error { return e.Err }

// readJSON decodes the request's body, or answers 400.
func readJSON(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON answers with JSON.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// cutConnection closes the caller's connection without an answer.
func cutConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}
