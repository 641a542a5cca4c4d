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

// The headers of the callers' API.
const (
	HeaderChat           = "Ryeford-Chat"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRepeatable     = "Ryeford-Repeatable"
	HeaderDeadline       = "Ryeford-Deadline"
	HeaderPriority       = "Ryeford-Priority"
	HeaderRequest        = "Ryeford-Request"
	HeaderEngine         = "Ryeford-Engine"
	HeaderTries          = "Ryeford-Tries"
	HeaderRetryAfterMS   = "Ryeford-Retry-After-Ms"
	HeaderLastEventID    = "Last-Event-ID"
)

// The paths of the callers' API.
const (
	PathCompletions = "/v1/chat/completions"
	PathAnswers     = "/v1/answers"
	PathServices    = "/v1/services/"
)

// unavailableRetryAfter is the retry delay for callers while the router has no
// configuration yet, or no engine for the request.
const unavailableRetryAfter = time.Second

// serve answers one request of a caller or of the load balancer.
func (f *forwarder) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		f.serveReady(ctx)
	case path == "/metrics":
		ctx.SetBody(f.metrics.Write())
	case path == PathCompletions && ctx.IsPost():
		f.serveRequest(ctx, f.parseCompletion)
	case path == PathAnswers && ctx.IsGet():
		f.serveResume(ctx)
	case strings.HasPrefix(path, PathServices):
		f.serveRequest(ctx, f.parseCall)
	case path == PathCompletions || path == PathAnswers:
		writeError(ctx, "", &ryeford.InputError{Field: "method", Problem: "not allowed here", Status: fasthttp.StatusMethodNotAllowed})
	default:
		writeError(ctx, "", &ryeford.InputError{Field: "path", Problem: "no such path", Status: fasthttp.StatusNotFound})
	}
}

func (f *forwarder) serveReady(ctx *fasthttp.RequestCtx) {
	if f.readiness.ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

func (f *forwarder) serveRequest(ctx *fasthttp.RequestCtx, parse func(*fasthttp.RequestCtx, *request) error) {
	req := &request{id: ryeford.RequestID(uuid.NewString())}
	if !f.readiness.synced.Load() {
		writeError(ctx, req.id, &ryeford.NotRunError{Reason: ryeford.ReasonNotReady, RetryAfter: retry.Jitter(unavailableRetryAfter)})
		return
	}
	err := f.parseCommon(ctx, req)
	if err == nil {
		err = parse(ctx, req)
	}
	if err != nil {
		f.metrics.Count("ryeford_requests_total", "input")
		writeError(ctx, req.id, err)
		return
	}
	f.run(ctx, f.newExchange(req), (*exchange).start)
}

// run begins an exchange and writes its answer or its failure.
func (f *forwarder) run(ctx *fasthttp.RequestCtx, x *exchange, begin func(*exchange, context.Context) error) {
	f.readiness.inFlight.Add(1)
	workCtx, cancel := context.WithDeadline(context.Background(), x.request.deadline)
	x.end = func() {
		x.stream.close()
		cancel()
		f.readiness.inFlight.Add(-1)
	}
	if err := begin(x, workCtx); err != nil {
		x.end()
		writeError(ctx, x.request.id, err)
		return
	}
	writeAnswer(workCtx, ctx, x)
}

// serveResume serves the rest of an answer that the caller received in part.
func (f *forwarder) serveResume(ctx *fasthttp.RequestCtx) {
	req := &request{
		stream:     true,
		chat:       "resume",
		deadline:   time.Now().Add(f.limits.DefaultDeadline),
		completion: &ryeford.Completion{},
	}
	if err := f.authenticate(ctx, req); err != nil {
		writeError(ctx, req.id, err)
		return
	}
	last, err := parseEventID(string(ctx.Request.Header.Peek(HeaderLastEventID)))
	if err != nil {
		writeError(ctx, req.id, err)
		return
	}
	f.run(ctx, f.resumeExchange(req, last), (*exchange).resume)
}
