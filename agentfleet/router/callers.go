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

// serveCaller answers one request of a caller or of the load balancer.
func (r *Router) serveCaller(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		r.serveReady(ctx)
	case path == "/metrics":
		ctx.SetBody(r.metrics.Write())
	case path == PathCompletions && ctx.IsPost():
		r.serveRequest(ctx, r.parseCompletion)
	case path == PathAnswers && ctx.IsGet():
		r.serveResume(ctx)
	case strings.HasPrefix(path, PathServices):
		r.serveRequest(ctx, r.parseCall)
	case path == PathCompletions || path == PathAnswers:
		writeError(ctx, "", &ryeford.InputError{Field: "method", Problem: "not allowed here", Status: fasthttp.StatusMethodNotAllowed})
	default:
		writeError(ctx, "", &ryeford.InputError{Field: "path", Problem: "no such path", Status: fasthttp.StatusNotFound})
	}
}

// serveReady answers the load balancer's readiness probe.
func (r *Router) serveReady(ctx *fasthttp.RequestCtx) {
	if r.readiness.ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

// serveRequest parses a request, serves it and writes the answer.
func (r *Router) serveRequest(ctx *fasthttp.RequestCtx, parse func(*fasthttp.RequestCtx, *request) error) {
	req := &request{id: ryeford.RequestID(uuid.NewString())}
	if !r.readiness.synced.Load() {
		writeError(ctx, req.id, &ryeford.NotRunError{Reason: ryeford.ReasonNotReady, RetryAfter: retry.Spread(unavailableRetryAfter)})
		return
	}
	err := r.parseCommon(ctx, req)
	if err == nil {
		err = parse(ctx, req)
	}
	if err != nil {
		r.metrics.Count("ryeford_requests_total", "input")
		writeError(ctx, req.id, err)
		return
	}
	r.drain.inFlight.Add(1)
	began := time.Now()
	work, cancel := context.WithDeadline(context.Background(), req.deadline)
	x := r.forwarder.newExchange(req)
	if err := x.start(work); err != nil {
		x.logGivenUp(err)
		r.finish(x, cancel)
		writeError(ctx, req.id, err)
		return
	}
	x.logRouted(time.Since(began))
	r.writeAnswer(work, cancel, ctx, x)
}

// finish ends an exchange.
func (r *Router) finish(x *exchange, cancel context.CancelFunc) {
	x.stream.close()
	cancel()
	r.drain.inFlight.Add(-1)
}

// serveResume goes on with an answer that the caller has a part of. It asks the one
// agent that the event id names.
func (r *Router) serveResume(ctx *fasthttp.RequestCtx) {
	req := &request{
		stream:     true,
		chat:       "resume",
		deadline:   time.Now().Add(r.settings.Limits.DefaultDeadline),
		completion: &ryeford.Completion{},
	}
	if err := r.authenticate(ctx, req); err != nil {
		writeError(ctx, req.id, err)
		return
	}
	last, err := parseEventID(string(ctx.Request.Header.Peek(HeaderLastEvent)))
	if err != nil {
		writeError(ctx, req.id, err)
		return
	}
	r.drain.inFlight.Add(1)
	work, cancel := context.WithDeadline(context.Background(), req.deadline)
	x := r.forwarder.resumeExchange(req, last)
	found, err := x.joinAt(work, last.candidate, false)
	if !found && err == nil {
		err = &ryeford.NotRunError{Reason: ryeford.ReasonTombstone}
	}
	if err != nil {
		r.finish(x, cancel)
		writeError(ctx, req.id, err)
		return
	}
	r.decisions.Record(req.id, "decision", "resume", "request", req.id, "account", req.account,
		"vm", last.candidate.VM, "attempt", last.attempt, "offset", x.delivered.next)
	r.writeAnswer(work, cancel, ctx, x)
}
