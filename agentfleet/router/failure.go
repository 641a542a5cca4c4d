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

// An errorBody is the JSON body of an error response.
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

// newErrorBody returns the body and the HTTP status for a failure: 4xx if the request
// is invalid or its account has exhausted its share or budget, 503 if the request
// provably did not run, 502 if it may have run, and 409 if its first run may still be
// in progress.
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
	// Checked before notRun: an unknown outcome caused by a refusal stays unknown.
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

// newOperatorErrorBody returns the body and the HTTP status for a failure of an
// operator's request.
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
	_ = writeJSON(ctx, status, &body) // strings and numbers always encode
}

// writeJSON writes a response. If the body can't be encoded, it writes nothing and
// returns the error of encoding/json.
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

// An Error is the failure of an operation of the router itself.
type Error struct {
	Op  string // the operation that failed
	Err error
}

func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// A ProtocolError reports a message from an agent that is not a valid reply.
type ProtocolError struct{}

func (e *ProtocolError) Error() string { return "unexpected message" }

// An EngineError carries the text of a failure that an engine or its agent reported.
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
	// readTimeout limits the time in which a client must send a request.
	readTimeout = 30 * time.Second

	// idleTimeout is how long a connection without a request stays open.
	idleTimeout = 2 * time.Minute
)

// serveHTTP runs an HTTP server that accepts bodies of up to maxBody bytes, until ctx
// ends. It returns an *httpserver.Error.
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

// newBadRequest returns the error for a request that is not valid HTTP or is too large.
func newBadRequest(err error, maxBody int) *ryeford.InputError {
	problem := &ryeford.InputError{Field: "request", Problem: "not a valid HTTP request", Status: fasthttp.StatusBadRequest}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		problem.Problem = "body larger than " + strconv.Itoa(maxBody) + " bytes"
		problem.Status = fasthttp.StatusRequestEntityTooLarge
	}
	return problem
}
