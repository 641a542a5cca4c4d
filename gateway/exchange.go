package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/gateway/quarantine"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// An exchange serves one request: it sends it to endpoints until one has answered or
// the retry policy gives it up.
//
// An exchange must not be used by two goroutines at once.
type exchange struct {
	forwarder *forwarder
	request   *request
	incoming  *http.Request
	policy    retry.Policy
	relay     relay

	tried      map[ryeford.EndpointID]bool // endpoints that are not chosen again
	history    retry.History
	sentHome   bool  // the last attempt went to the first endpoint by affinity
	paid       bool  // the retry after the last attempt was taken from the budget
	mayHaveRun bool  // at any endpoint
	last       error // how the last attempt ended

	began    time.Time              // the last attempt
	identity quarantine.Fingerprint // zero before it is needed: see fingerprint
}

// A stoppingError says that a request was given up since the gateway is about to close
// its callers' connections.
type stoppingError struct{}

// Error returns the text of e.
func (*stoppingError) Error() string { return "the gateway stops" }

// serveUntil answers the request, at the latest when ending is done. A stream that has
// begun by then goes on: its caller could not be told anything else.
func (x *exchange) serveUntil(ctx, ending context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(ending, func() {
		if !x.relay.begun.Load() {
			cancel(&stoppingError{})
		}
	})
	defer stop()
	x.serve(ctx)
}

// serve answers the request.
func (x *exchange) serve(ctx context.Context) {
	step := retry.Step{Again: true}
	for step.Again {
		if err := x.unservable(); err != nil {
			x.giveUp(err)
			return
		}
		to, source := x.chooseFor(step)
		if to == nil {
			x.giveUp(giveup.NotRun(ryeford.ReasonNoCandidate))
			return
		}
		end, err := x.attempt(ctx, to, source)
		if end == retry.EndAnswered {
			return
		}
		x.last = err
		step = x.next(ctx, end)
	}
	x.giveUp(x.last)
}

// unservable returns why no endpoint may or can serve the request any more, or nil. Only a
// request that was not sent yet is rejected for load: a retry replaces work that has ended.
func (x *exchange) unservable() error {
	now, q := clock.Now(), x.request
	if err := admit.CheckSend(x.sending(now)); err != nil {
		return err
	}
	// Sent on as its callers repeat it, such a request ended 19 engines, with all their streams.
	if verdict := x.checkQuarantine(now); verdict.Held {
		return giveup.Quarantined(verdict.Left)
	}
	if x.history.Sent == 0 && x.forwarder.occupancy.Full(now, q.service) {
		return giveup.NotRun(ryeford.ReasonOverload)
	}
	return admit.CheckTime(q.deadline.Sub(now), x.forwarder.fastest.of(now, q.service))
}

// chooseFor chooses the endpoint of an attempt, and the endpoint from which it may fetch
// cached parts of the prompt. Either may be nil.
func (x *exchange) chooseFor(step retry.Step) (to, source *roster.Entry) {
	to, source = x.choose()
	if to == nil && step.AllowTried {
		clear(x.tried)
		to, source = x.choose()
	}
	return to, source
}

// next returns what follows an attempt, and takes the retry that it needs from the
// retry budget.
func (x *exchange) next(ctx context.Context, end retry.End) retry.Step {
	over := ctx.Err() != nil
	if end == retry.EndUnsent && !over { // else the end of ctx may have stopped it
		x.history.Unsent++
	}
	step := x.policy.Next(end, x.history, over)
	if step.Budgeted && !x.paid && !x.takeRetry() {
		return retry.Step{}
	}
	return step
}

// takeRetry takes a retry from the service's retry budget, and reports whether there
// was one.
func (x *exchange) takeRetry() bool {
	now := clock.Now()
	routers := x.forwarder.peers.Alive(now) + 1
	return x.request.budget.TakeRetry(now, retry.Sharers(x.forwarder.minSharers, routers))
}

// withholds reports whether an endpoint's response is not passed on, because it is a
// failure after which another attempt may follow, or one that callers would take for the
// promise that the request has not run.
func (x *exchange) withholds(status int) bool {
	if isSuccess(status) {
		return false
	}
	return x.policy.Next(retry.EndFailed, x.history, false).Again || giveup.PromisesNotRun(status)
}

// stopped returns why a request can't go on once its context has ended.
func (x *exchange) stopped(ctx context.Context) error {
	var stopping *stoppingError
	switch {
	case errors.As(context.Cause(ctx), &stopping):
		return giveup.Stopped(ryeford.ReasonLeaving, x.mayHaveRun)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return giveup.Stopped(ryeford.ReasonDeadline, x.mayHaveRun)
	}
	return giveup.Stopped(ryeford.ReasonCancelled, x.mayHaveRun)
}

// giveUp ends the request without a whole response of an endpoint.
func (x *exchange) giveUp(err error) {
	f, q, now := x.forwarder, x.request, clock.Now()
	verdict := giveup.Decide(giveup.Request{
		Err: err, Last: x.last, MayHaveRun: x.mayHaveRun, Begun: x.relay.begun.Load(),
		Unavailable: f.unavailableFor(now, q.service), Resting: f.restingFor(now, q.service), Unlisted: f.roster.Accepting(q.service) == 0, Caller: q.caller(), Recent: f.refusals.of(now, q.service),
		Overloaded: f.overloads.lasted(now, q.service),
	})
	f.refusals.add(now, q.service, verdict.Counts())
	if verdict.Reason == string(ryeford.ReasonOverload) {
		f.overloads.add(now, q.service)
	}
	f.metrics.Count("ryeford_given_up_total", verdict.Reason)
	_ = f.log.Log("decision", "give_up", "request", q.meta.ID, "route", q.rule.Name, "account", q.accountID(), "service", q.service,
		"sent", x.history.Sent, "unsent", x.history.Unsent, "may_have_run", x.mayHaveRun, "begun", x.relay.begun.Load(), "events", x.relay.events,
		"version", q.catalog.Version(), "status", verdict.Status, "reason", verdict.Reason, "took", roundTime(clock.Since(q.arrived)), "err", verdict.Err)
	if verdict.Abort {
		panic(http.ErrAbortHandler) // net/http then closes the connection
	}
	writeVerdict(x.relay.writer, f.protocol, q.meta.ID, &verdict)
}

// recordFailed logs and counts an attempt that did not answer the caller.
func (x *exchange) recordFailed(to *roster.Entry, end retry.End, err error) {
	f, q := x.forwarder, x.request
	f.metrics.Count("ryeford_tries_failed_total", end.String())
	line := []any{"decision", "try_failed", "request", q.meta.ID, "endpoint", to.ID, "address", to.Address,
		"outcome", end, "sent", x.history.Sent, "events", x.relay.events, "took", roundTime(clock.Since(q.arrived)), "err", err}
	if end == retry.EndLost {
		line = append(line, "fingerprint", x.fingerprint())
	}
	_ = f.log.Log(line...)
}

// recordAnswered logs and counts a response that the caller has whole.
func (x *exchange) recordAnswered(to *roster.Entry, status int) {
	f, q := x.forwarder, x.request
	took := clock.Since(q.arrived)
	f.durations.observe(q.rule, took)
	if isSuccess(status) {
		x.clearQuarantine()
	}
	f.refusals.add(clock.Now(), q.service, giveup.Recent{Answered: 1})
	f.metrics.Count("ryeford_answered_total", "")
	f.metrics.Observe("ryeford_answer_seconds", took.Seconds())
	_ = f.log.Log("decision", "answer", "request", q.meta.ID, "route", q.rule.Name, "endpoint", to.ID, "status", status,
		"sent", x.history.Sent, "unsent", x.history.Unsent, "events", x.relay.events, "first", roundTime(x.relay.first), "took", roundTime(took))
}
