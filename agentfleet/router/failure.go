package router

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/internal/httpserver"
)

// An errorBody is the JSON of a failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Ran          string `json:"ran"` // not_run or unknown
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Request      string `json:"request,omitempty"`
}

// newErrorBody returns the JSON of a failure and its HTTP status: 4xx if the request
// itself is at fault or its account has spent what it may, 503 if the request provably
// did not run, 502 if it may have run, and 409 if its first run may still go on.
func newErrorBody(request ryeford.RequestID, err error) (errorBody, int) {
	detail := errorDetail{Code: "internal", Message: err.Error(), Ran: "unknown", Request: string(request)}
	status := fasthttp.StatusBadGateway
	var input *ryeford.InputError
	var notRun *ryeford.NotRunError
	var unknown *ryeford.MayHaveRunError
	switch {
	case errors.As(err, &input):
		detail.Code, detail.Ran = "invalid_request", "not_run"
		status = cmp.Or(input.Status, fasthttp.StatusBadRequest)
	// This goes first: an unknown outcome that a refusal caused stays unknown.
	case errors.As(err, &unknown):
		detail.Code = string(unknown.Reason)
		detail.RetryAfterMS = unknown.RetryAfter.Milliseconds()
		if unknown.Reason == ryeford.ReasonRunning {
			status = fasthttp.StatusConflict
		}
	case errors.As(err, &notRun):
		detail.Code, detail.Ran = string(notRun.Reason), "not_run"
		detail.RetryAfterMS = notRun.RetryAfter.Milliseconds()
		status = fasthttp.StatusServiceUnavailable
		if notRun.Reason == ryeford.ReasonShare || notRun.Reason == ryeford.ReasonRetryBudget {
			status = fasthttp.StatusTooManyRequests
		}
	}
	return errorBody{Error: detail}, status
}

// newOperatorErrorBody returns the JSON of a failure of an operator's request, and its
// HTTP status.
func newOperatorErrorBody(err error) (errorBody, int) {
	var input *ryeford.InputError
	var sequence *template.SequenceError
	var conflict *ryeford.ConflictError
	var notFound *ryeford.NotFoundError
	var unavailable *ryeford.UnavailableError
	detail := errorDetail{Code: "internal", Message: err.Error(), Ran: "unknown"}
	status := fasthttp.StatusInternalServerError
	switch {
	case errors.As(err, &input):
		detail.Code, detail.Ran, status = "invalid_request", "not_run", fasthttp.StatusBadRequest
	case errors.As(err, &sequence), errors.As(err, &conflict):
		detail.Code, detail.Ran, status = "conflict", "not_run", fasthttp.StatusConflict
	case errors.As(err, &notFound):
		detail.Code, detail.Ran, status = "not_found", "not_run", fasthttp.StatusNotFound
	case errors.As(err, &unavailable):
		detail.Code, status = string(ryeford.ReasonStoreUnavailable), fasthttp.StatusServiceUnavailable
		if !unavailable.MayHaveApplied {
			detail.Ran = "not_run"
		}
	}
	return errorBody{Error: detail}, status
}

func writeError(ctx *fasthttp.RequestCtx, request ryeford.RequestID, err error) {
	body, status := newErrorBody(request, err)
	if ms := body.Error.RetryAfterMS; ms > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(ms)/1000))))
		ctx.Response.Header.Set(HeaderRetryAfterMS, strconv.FormatInt(ms, 10))
	}
	if request != "" {
		ctx.Response.Header.Set(HeaderRequest, string(request))
	}
	_ = writeJSON(ctx, status, &body) // its parts are strings and a number
}

// writeJSON writes a response. The error is that of encoding/json; nothing is written then.
func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(content)
	return nil
}

// An Error is a failure of something that the router itself does.
type Error struct {
	Op  string // what failed
	Err error
}

func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// A ProtocolError says that an agent's message is no reply to what it was sent.
type ProtocolError struct{}

func (e *ProtocolError) Error() string { return "unexpected message" }

// An EngineError carries what an engine, or its agent, said of a failure.
type EngineError struct {
	Text string
}

func (e *EngineError) Error() string { return e.Text }

func reasonOf(err error) ryeford.Reason {
	if unknown, ok := errors.AsType[*ryeford.MayHaveRunError](err); ok {
		return unknown.Reason
	}
	if notRun, ok := errors.AsType[*ryeford.NotRunError](err); ok {
		return notRun.Reason
	}
	return ryeford.ReasonEngineError
}

const (
	// readTimeout bounds how long a client may take to send a request.
	readTimeout = 30 * time.Second

	// idleTimeout is how long a connection without a request is kept.
	idleTimeout = 2 * time.Minute
)

// serveHTTP runs an HTTP server, for bodies of maxBody bytes at most, until ctx ends. Its
// error is an *httpserver.Error.
func serveHTTP(ctx context.Context, address netip.AddrPort, maxBody int, handler fasthttp.RequestHandler) error {
	return httpserver.ListenAndServe(ctx, address, &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			writeError(ctx, "", newBadRequest(err, maxBody))
		},
	})
}

// newBadRequest returns the failure of a request that is not HTTP, or is too large.
func newBadRequest(err error, maxBody int) *ryeford.InputError {
	problem := &ryeford.InputError{Field: "request", Problem: "not a valid HTTP request", Status: fasthttp.StatusBadRequest}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		problem.Problem = "body larger than " + strconv.Itoa(maxBody) + " bytes"
		problem.Status = fasthttp.StatusRequestEntityTooLarge
	}
	return problem
}
