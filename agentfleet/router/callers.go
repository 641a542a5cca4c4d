package router

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
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

const (
	maxIDLength     = 128
	maxMessages     = 4096
	maxTokens       = 1 << 20
	statusKeyReused = fasthttp.StatusUnprocessableEntity
	bearerPrefix    = "Bearer "
)

// serveHTTP runs an HTTP server until ctx ends.
func (r *Router) serveHTTP(ctx context.Context, address netip.AddrPort, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return &ListenError{Address: address, Err: err}
	}
	server := &fasthttp.Server{
		Handler:               handler,
		MaxRequestBodySize:    r.settings.Limits.MaxBody,
		NoDefaultServerHeader: true,
		ReadTimeout:           30 * time.Second,
		IdleTimeout:           2 * time.Minute,
		ErrorHandler:          r.serveBadRequest,
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return &ListenError{Address: address, Err: err}
}

// A ListenError says that a server could not run at its address.
type ListenError struct {
	Address netip.AddrPort
	Err     error
}

// Error returns the text of e.
func (e *ListenError) Error() string { return "serve " + e.Address.String() + ": " + e.Err.Error() }

// Unwrap returns the cause of e.
func (e *ListenError) Unwrap() error { return e.Err }

// serveBadRequest answers a request that is no HTTP, or is too large.
func (r *Router) serveBadRequest(ctx *fasthttp.RequestCtx, err error) {
	problem := &ryeford.InputError{Field: "request", Problem: "not a valid HTTP request", Status: fasthttp.StatusBadRequest}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		problem.Problem = "body larger than " + strconv.Itoa(r.settings.Limits.MaxBody) + " bytes"
		problem.Status = fasthttp.StatusRequestEntityTooLarge
	}
	writeError(ctx, "", problem)
}

// serveCaller answers one request of a caller or of the balancer.
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

// serveReady tells the balancer whether to send callers here.
func (r *Router) serveReady(ctx *fasthttp.RequestCtx) {
	if r.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

// serveRequest parses a request, serves it and writes the answer.
func (r *Router) serveRequest(ctx *fasthttp.RequestCtx, parse func(*fasthttp.RequestCtx, *request) error) {
	req := &request{id: ryeford.RequestID(uuid.NewString())}
	if !r.synced.Load() {
		writeError(ctx, req.id, &ryeford.NotRunError{Reason: ryeford.ReasonNotReady, RetryAfter: retry.Spread(time.Second)})
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
	r.inFlight.Add(1)
	began := time.Now()
	work, cancel := context.WithDeadline(context.Background(), req.deadline)
	x := r.newExchange(req)
	if err := x.start(work); err != nil {
		r.logGivenUp(x, err)
		r.finish(x, cancel)
		writeError(ctx, req.id, err)
		return
	}
	r.logRouted(x, time.Since(began))
	r.writeAnswer(work, cancel, ctx, x)
}

// finish ends an exchange.
func (r *Router) finish(x *exchange, cancel context.CancelFunc) {
	x.close()
	cancel()
	r.inFlight.Add(-1)
}

// serveResume goes on with an answer that the caller has a part of.
func (r *Router) serveResume(ctx *fasthttp.RequestCtx) {
	req := &request{stream: true, chat: "resume", deadline: time.Now().Add(r.settings.Limits.DefaultDeadline)}
	if err := r.authenticate(ctx, req); err != nil {
		writeError(ctx, req.id, err)
		return
	}
	where, err := parseEventID(string(ctx.Request.Header.Peek(HeaderLastEvent)))
	if err != nil {
		writeError(ctx, req.id, err)
		return
	}
	req.completion = &ryeford.Completion{}
	r.inFlight.Add(1)
	work, cancel := context.WithDeadline(context.Background(), req.deadline)
	x := &exchange{router: r, request: req, attempt: where.attempt, candidate: where.candidate, next: where.offset + 1, rejoins: maxRejoins}
	found, err := x.joinAt(work, where.candidate, false)
	if !found && err == nil {
		err = &ryeford.NotRunError{Reason: ryeford.ReasonTombstone}
	}
	if err != nil {
		r.finish(x, cancel)
		writeError(ctx, req.id, err)
		return
	}
	_ = r.decisions.Note(req.id, "decision", "resume", "request", req.id, "account", req.account,
		"vm", where.candidate.VM, "attempt", where.attempt, "offset", x.next)
	r.writeAnswer(work, cancel, ctx, x)
}

// logRouted logs where a turn went.
func (r *Router) logRouted(x *exchange, took time.Duration) {
	req := x.request
	r.metrics.Count("ryeford_requests_total", "routed")
	r.metrics.Observe("ryeford_first_chunk_seconds", took.Seconds())
	warm := "cold"
	if x.warm {
		warm = "warm"
	}
	r.metrics.Count("ryeford_turns_total", warm)
	_ = r.decisions.Note(req.id, "decision", "route", "request", req.id, "attempt", x.attempt, "account", req.account, "chat", req.chat,
		"engine", x.candidate.Engine, "vm", x.candidate.VM, "failure_domain", r.fleet.domain(x.candidate.VM), "home", x.home, "try", x.dispatches, "mean", x.poolMean(),
		"warm", x.warm, "first_chunk", took)
}

// logGivenUp logs why a turn was not served.
func (r *Router) logGivenUp(x *exchange, err error) {
	req := x.request
	r.metrics.Count("ryeford_requests_total", string(reasonOf(err)))
	_ = r.decisions.Note(req.id, "decision", "give_up", "request", req.id, "account", req.account, "chat", req.chat,
		"tries", x.dispatches, "reason", reasonOf(err), "mean", x.poolMean(), "err", err)
}
