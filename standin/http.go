package standin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford/internal/httpserver"
	"github.com/ryeford/ryeford/settings"
)

// The paths by which tests reach into a stand-in.
const (
	// PathFault takes what is wrong with the stand-in from now on: its fault as JSON.
	PathFault = "/fault"
	// PathRuns answers with what an engine or a service has run, as JSON.
	PathRuns = "/runs"
)

// maxRequestBody bounds a request's body, in bytes. It has room for the largest
// object that the fleet writes, a plan.
const maxRequestBody = 64 << 20

// listenAndServe serves a stand-in until ctx ends.
func listenAndServe(ctx context.Context, address settings.Address, serve fasthttp.RequestHandler) error {
	return httpserver.ListenAndServe(ctx, address.AddrPort, &fasthttp.Server{
		Handler:               serve,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxRequestBody,
	})
}

// readJSON decodes the request's body, or answers 400.
func readJSON(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

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

// A RunRecord is one run of an engine or a service, as the stand-in saw it. Tests
// compare these records with what callers were answered.
type RunRecord struct {
	Attempt string    `json:"attempt"`
	Chat    string    `json:"chat,omitempty"`
	Path    string    `json:"path,omitempty"` // of a service's call, with its query
	Body    string    `json:"body,omitempty"` // of a service's call
	At      time.Time `json:"at"`             // when it came
	// Admitted is when an agent admitted it, as HeaderStart of package engine says;
	// zero if it does not, and at a service.
	Admitted time.Time `json:"admitted,omitzero"`
	// End is when the run ended; zero while it goes on, and at a service.
	End time.Time `json:"end,omitzero"`
}

// EngineCounts are the runs of an engine, the oldest first, as it answers at PathRuns.
type EngineCounts struct {
	Runs []RunRecord `json:"runs"`
}
