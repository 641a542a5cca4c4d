package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/gateway/limit"
	"github.com/ryeford/ryeford/gateway/overload"
	"github.com/ryeford/ryeford/gateway/quarantine"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/streamversion"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// An exchange serves one request: it sends the request to endpoints until one has answered or
// the retry policy allows no further attempt.
//
// An exchange is not safe for concurrent use.
type exchange struct {
	forwarder *forwarder
	request   *request
	incoming  *http.Request
	policy    retry.Policy
	relay     relay

	tried        map[ryeford.EndpointID]bool // endpoints that are excluded from further choices
	history      retry.History
	sentToHome   bool  // the last attempt went to the first endpoint by affinity
	retryCharged bool  // the next retry was already charged to the budget
	mayHaveRun   bool  // any attempt may have run at an endpoint
	lastErr      error // error of the last attempt

	stream *streamversion.Stream // of a route whose streams may be continued, or else nil

	decision          *overload.Decision     // whether the service has room for it; nil before the first attempt
	attemptStarted    time.Time              // start of the last attempt
	cachedFingerprint quarantine.Fingerprint // computed on first use: see fingerprint
}

// A stoppingError reports that a request was given up because the gateway is about to close
// its callers' connections.
type stoppingError struct{}

func (*stoppingError) Error() string { return "gateway is shutting down" }

// serveUntil answers the request, at the latest when aborting is done. A stream that has begun
// by then continues, because no other response can be sent to its caller any more.
func (x *exchange) serveUntil(ctx, aborting context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(aborting, func() {
		if !x.relay.headerSent.Load() {
			cancel(&stoppingError{})
		}
	})
	defer stop()
	x.serve(ctx)
}

func (x *exchange) serve(ctx context.Context) {
	if x.stream != nil {
		defer x.stream.End()
		if err := x.takeUp(ctx); err != nil {
			x.giveUp(err)
			return
		}
	}
	decision := retry.Decision{Retry: true}
	for decision.Retry {
		if err := x.checkServable(); err != nil {
			x.giveUp(err)
			return
		}
		to, source := x.chooseFor(decision)
		if to == nil {
			x.giveUp(giveup.NotRun(x.noEndpointReason()))
			return
		}
		end, err := x.attempt(ctx, to, source)
		if end == retry.EndAnswered {
			return
		}
		x.lastErr = err
		decision = x.next(ctx, end)
	}
	x.giveUp(x.lastErr)
}

// checkServable returns an error if no endpoint may or can serve the request any more. Only a
// request that has not been sent is rejected for overload, because a retry replaces work that
// has ended.
func (x *exchange) checkServable() error {
	now, q := clock.Now(), x.request
	if err := admit.CheckSend(x.sendState(now)); err != nil {
		return err
	}
	// A quarantined request that callers repeat could otherwise end one endpoint after another.
	if decision := x.checkQuarantine(now); decision.Held {
		return giveup.Quarantined(decision.RetryAfter)
	}
	if x.history.Sent == 0 && !x.admitLoad(now) {
		return giveup.NotRun(ryeford.ReasonOverload)
	}
	return admit.CheckTime(q.deadline.Sub(now), x.forwarder.minResponseTimes.get(now, q.service))
}

// admitLoad reports whether the service has room for the request. It decides once: a request that could not be sent
// to one endpoint is no further arrival.
func (x *exchange) admitLoad(now time.Time) bool {
	if x.decision == nil {
		f, q := x.forwarder, x.request
		decision := f.overload.Admit(now, q.load(), func() limit.Room { return f.room(now, q) })
		x.decision = &decision
		if !decision.Admitted {
			f.metrics.Count("ryeford_overload_rejected_total", string(decision.Source))
		}
	}
	return x.decision.Admitted
}

// chooseFor chooses the endpoint of an attempt, and the endpoint from which it may fetch cached
// parts of the prompt. Either may be nil.
func (x *exchange) chooseFor(decision retry.Decision) (to, source *roster.Entry) {
	to, source = x.choose()
	if to == nil && decision.AllowTried {
		clear(x.tried)
		to, source = x.choose()
	}
	return to, source
}

// next returns what follows an attempt, and charges a needed retry to the retry budget.
func (x *exchange) next(ctx context.Context, end retry.End) retry.Decision {
	ctxDone := ctx.Err() != nil
	if end == retry.EndUnsent && !ctxDone { // otherwise the end of ctx may have caused it
		x.history.Unsent++
	}
	decision := x.policy.Next(end, x.history, ctxDone)
	if decision.Budgeted && !x.retryCharged && !x.takeRetry() {
		return retry.Decision{}
	}
	return decision
}

// takeRetry charges a retry to the service's retry budget. It returns false if the budget is
// exhausted.
func (x *exchange) takeRetry() bool {
	now := clock.Now()
	routers := x.forwarder.peers.Alive(now) + 1
	return x.request.budget.TakeRetry(now, retry.ReserveDivisor(x.forwarder.minBudgetRouters, routers))
}

// shouldWithhold reports whether an endpoint's response is not passed on: it is a failure that
// may be retried, or callers would take its status as a promise that the request has not run.
func (x *exchange) shouldWithhold(status int) bool {
	if isSuccess(status) {
		return false
	}
	return x.policy.Next(retry.EndFailed, x.history, false).Retry || giveup.PromisesNotRun(status)
}

// stopError returns the error of a request whose context has ended.
func (x *exchange) stopError(ctx context.Context) error {
	var stopping *stoppingError
	switch {
	case errors.As(context.Cause(ctx), &stopping):
		return giveup.Stopped(ryeford.ReasonLeaving, x.mayHaveRun)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return giveup.Stopped(ryeford.ReasonDeadline, x.mayHaveRun)
	}
	return giveup.Stopped(ryeford.ReasonCancelled, x.mayHaveRun)
}

// giveUp ends the request without a complete response from an endpoint.
func (x *exchange) giveUp(err error) {
	f, q, now := x.forwarder, x.request, clock.Now()
	outcome := giveup.Decide(giveup.Request{
		Err: err, Last: x.lastErr, MayHaveRun: x.mayHaveRun, ResponseStarted: x.relay.headerSent.Load(),
		UnavailableFor: f.unavailableFor(now, q.service), BackingOffFor: f.backingOffFor(now, q.service), Unlisted: f.roster.Accepting(q.service) == 0, Caller: q.caller(), Recent: f.refusals.get(now, q.service),
		OverloadedFor: f.overload.RefusingFor(now, q.service),
	})
	f.refusals.add(now, q.service, outcome.Counts())
	if outcome.Reason == string(ryeford.ReasonOverload) {
		f.overload.Refused(now, q.service)
	}
	f.metrics.Count("ryeford_given_up_total", outcome.Reason)
	line := []any{"decision", "give_up", "request", q.meta.ID, "route", q.rule.Name, "account", q.accountID(), "service", q.service,
		"sent", x.history.Sent, "unsent", x.history.Unsent, "may_have_run", x.mayHaveRun, "begun", x.relay.headerSent.Load(), "events", x.relay.sentEvents,
		"version", q.catalog.Version(), "status", outcome.Status, "reason", outcome.Reason, "took", roundTime(clock.Since(q.arrived)), "err", outcome.Err}
	if x.decision != nil && !x.decision.Admitted {
		line = append(line, x.decision.LogFields()...)
	}
	_ = f.log.Log(line...)
	if outcome.Abort {
		panic(http.ErrAbortHandler) // makes net/http close the connection
	}
	writeOutcome(x.relay.writer, f.protocol, q.meta.ID, &outcome)
}

// recordFailed logs and counts an attempt that did not answer the caller.
func (x *exchange) recordFailed(to *roster.Entry, end retry.End, err error) {
	f, q := x.forwarder, x.request
	f.metrics.Count("ryeford_tries_failed_total", end.String())
	line := []any{"decision", "try_failed", "request", q.meta.ID, "endpoint", to.ID, "address", to.Address,
		"outcome", end, "sent", x.history.Sent, "events", x.relay.sentEvents, "took", roundTime(clock.Since(q.arrived)), "err", err}
	if end == retry.EndLost {
		line = append(line, "fingerprint", x.fingerprint())
	}
	_ = f.log.Log(line...)
}

// recordAnswered logs and counts a response that was sent to the caller completely.
func (x *exchange) recordAnswered(to *roster.Entry, status int) {
	f, q := x.forwarder, x.request
	took := clock.Since(q.arrived)
	f.durations.observe(q.rule, took)
	if isSuccess(status) {
		x.clearQuarantine()
	}
	f.refusals.add(clock.Now(), q.service, giveup.RecentCounts{Answered: 1})
	f.metrics.Count("ryeford_answered_total", "")
	f.metrics.Observe("ryeford_answer_seconds", took.Seconds())
	_ = f.log.Log("decision", "answer", "request", q.meta.ID, "route", q.rule.Name, "endpoint", to.ID, "status", status,
		"sent", x.history.Sent, "unsent", x.history.Unsent, "events", x.relay.sentEvents, "first", roundTime(x.relay.timeToFirst), "took", roundTime(took))
}
