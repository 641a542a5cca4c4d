package router

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/template"
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
		status = fasthttp.StatusBadRequest
		if input.Status != 0 {
			status = input.Status
		}
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

// writeError answers a caller with a failure.
func writeError(ctx *fasthttp.RequestCtx, request ryeford.RequestID, err error) {
	body, status := newErrorBody(request, err)
	if ms := body.Error.RetryAfterMS; ms > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(ms)/1000))))
		ctx.Response.Header.Set(HeaderRetryAfterMS, strconv.FormatInt(ms, 10))
	}
	if request != "" {
		ctx.Response.Header.Set(HeaderRequest, string(request))
	}
	writeErrorBody(ctx, &body, status)
}

// writeErrorBody writes the JSON of a failure as the response.
func writeErrorBody(ctx *fasthttp.RequestCtx, body *errorBody, status int) {
	content, err := json.Marshal(body)
	if err != nil { // not possible: the body is strings and a number
		content = []byte(`{"error":{"code":"internal"}}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(content)
}
