package router

import (
	"context"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/retry"
)

// The headers that callers use.
const (
	HeaderChat         = "Ryeford-Chat"
	HeaderKey          = "Idempotency-Key"
	HeaderRepeatable   = "Ryeford-Repeatable"
	HeaderDeadline     = "Ryeford-Deadline"
	HeaderPriority     = "Ryeford-Priority"
	HeaderRequest      = "Ryeford-Request"
	HeaderEngine       = "Ryeford-Engine"
	HeaderTries        = "Ryeford-Tries"
	HeaderRetryAfterMS = "Ryeford-Retry-After-Ms"
	HeaderLastEvent    = "Last-Event-ID"
)

// The paths that callers use.
const (
	PathCompletions = "/v1/chat/completions"
	PathAnswers     = "/v1/answers"
	PathServices    = "/v1/services/"
)

// unavailableRetryAfter is when a caller is to come back to a router that has no
// configuration yet, or has no engine for the request. Not measured.
const unavailableRetryAfter = time.Second

// A callerHandler serves callers' HTTP: it parses a request, and has an exchange find the
// answer.
type callerHandler struct {
	*shared
	forwarder *forwarder
}

// serve answers one request of a caller or of the load balancer.
func (h *callerHandler) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		h.serveReady(ctx)
	case path == "/metrics":
		ctx.SetBody(h.metrics.Write())
	case path == PathCompletions && ctx.IsPost():
		h.serveRequest(ctx, h.parseCompletion)
	case path == PathAnswers && ctx.IsGet():
		h.serveResume(ctx)
	case strings.HasPrefix(path, PathServices):
		h.serveRequest(ctx, h.parseCall)
	case path == PathCompletions || path == PathAnswers:
		writeError(ctx, "", &ryeford.InputError{Field: "method", Problem: "not allowed here", Status: fasthttp.StatusMethodNotAllowed})
	default:
		writeError(ctx, "", &ryeford.InputError{Field: "path", Problem: "no such path", Status: fasthttp.StatusNotFound})
	}
}

func (h *callerHandler) serveReady(ctx *fasthttp.RequestCtx) {
	if h.readiness.ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

func (h *callerHandler) serveRequest(ctx *fasthttp.RequestCtx, parse func(*fasthttp.RequestCtx, *request) error) {
	req := &request{id: ryeford.RequestID(uuid.NewString())}
	if !h.readiness.synced.Load() {
		writeError(ctx, req.id, &ryeford.NotRunError{Reason: ryeford.ReasonNotReady, RetryAfter: retry.Spread(unavailableRetryAfter)})
		return
	}
	err := h.parseCommon(ctx, req)
	if err == nil {
		err = parse(ctx, req)
	}
	if err != nil {
		h.metrics.Count("ryeford_requests_total", "input")
		writeError(ctx, req.id, err)
		return
	}
	h.run(ctx, h.forwarder.newExchange(req), (*exchange).start)
}

// run begins an exchange and writes its answer, or the failure to get one.
func (h *callerHandler) run(ctx *fasthttp.RequestCtx, x *exchange, begin func(*exchange, context.Context) error) {
	h.readiness.inFlight.Add(1)
	work, cancel := context.WithDeadline(context.Background(), x.request.deadline)
	if err := begin(x, work); err != nil {
		h.finish(x, cancel)
		writeError(ctx, x.request.id, err)
		return
	}
	h.writeAnswer(work, cancel, ctx, x)
}

func (h *callerHandler) finish(x *exchange, cancel context.CancelFunc) {
	x.stream.close()
	cancel()
	h.readiness.inFlight.Add(-1)
}

// serveResume goes on with an answer that the caller has a part of.
func (h *callerHandler) serveResume(ctx *fasthttp.RequestCtx) {
	req := &request{
		stream:     true,
		chat:       "resume",
		deadline:   time.Now().Add(h.limits.DefaultDeadline),
		completion: &ryeford.Completion{},
	}
	if err := h.authenticate(ctx, req); err != nil {
		writeError(ctx, req.id, err)
		return
	}
	last, err := parseEventID(string(ctx.Request.Header.Peek(HeaderLastEvent)))
	if err != nil {
		writeError(ctx, req.id, err)
		return
	}
	h.run(ctx, h.forwarder.resumeExchange(req, last), (*exchange).resume)
}
