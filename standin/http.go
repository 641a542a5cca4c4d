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

// The paths at which tests control a stand-in.
const (
	// PathFault accepts a fault of the stand-in, as JSON.
	PathFault = "/fault"
	// PathRuns answers with the runs of an engine or a service, as JSON.
	PathRuns = "/runs"
)

// maxRequestBody is the maximum size of a request's body in bytes. It admits the largest object
// that the fleet writes, a plan.
const maxRequestBody = 64 << 20

// listenAndServe serves a stand-in until ctx is done.
func listenAndServe(ctx context.Context, address settings.Address, serve fasthttp.RequestHandler) error {
	return httpserver.ListenAndServe(ctx, address.AddrPort, &fasthttp.Server{
		Handler:               serve,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxRequestBody,
	})
}

// readJSON decodes the request's body. If that fails, it answers 400 and reports false.
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

// cutConnection closes the connection without an answer.
func cutConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// A RunRecord is the record of one run of an engine or a service. Tests compare these records
// with the answers that callers received.
type RunRecord struct {
	Attempt string    `json:"attempt"`
	Chat    string    `json:"chat,omitempty"`
	Path    string    `json:"path,omitempty"` // of a call of a service, including the query
	Body    string    `json:"body,omitempty"` // of a call of a service
	At      time.Time `json:"at"`             // of the request's arrival
	// Admitted is when an agent admitted the run, from HeaderStart of package engine. It is
	// zero without that header, and for a service.
	Admitted time.Time `json:"admitted,omitzero"`
	// End is when the run ended. It is zero while the run continues, and for a service.
	End time.Time `json:"end,omitzero"`
}

// EngineCounts are the runs of an engine, oldest first. It is the answer of an engine at PathRuns.
type EngineCounts struct {
	Runs []RunRecord `json:"runs"`
}
