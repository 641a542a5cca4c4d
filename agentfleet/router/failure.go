package router

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
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

// newErrorBody returns the JSON of a failure and its HTTP status.
func newErrorBody(request ryeford.RequestID, err error) (errorBody, int) {
	detail := errorDetail{Code: "internal", Message: err.Error(), Ran: "unknown", Request: string(request)}
	status := fasthttp.StatusBadGateway
	var input *ryeford.InputError
	var notRun *ryeford.NotRunError
	var unknown *ryeford.UnknownError
	switch {
	case errors.As(err, &input):
		detail.Code, detail.Ran = "invalid_request", "not_run"
		status = fasthttp.StatusBadRequest
		if input.Status != 0 {
			status = input.Status
		}
	// An unknown outcome may be caused by a refusal: it stays unknown.
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

// writeError answers with a failure, at once.
func writeError(ctx *fasthttp.RequestCtx, request ryeford.RequestID, err error) {
	body, status := newErrorBody(request, err)
	content, marshalErr := json.Marshal(&body)
	if marshalErr != nil {
		content = []byte(`{"error":{"code":"internal"}}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	if ms := body.Error.RetryAfterMS; ms > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(ms)/1000))))
		ctx.Response.Header.Set(HeaderRetryAfterMS, strconv.FormatInt(ms, 10))
	}
	if request != "" {
		ctx.Response.Header.Set(HeaderRequest, string(request))
	}
	ctx.SetBody(content)
}
