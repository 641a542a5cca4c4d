package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/roster"
)

const (
	// maxUnsent bounds the tries that never reached an endpoint.
	maxUnsent = 4
	// patience is the multiple of a route's goal after which a request that may
	// be repeated is sent to another endpoint, while there is no answer.
	patience = 1.5
	// maxWhole is the largest answer that is kept whole before it is passed on.
	maxWhole = 8 << 20
)

// An exchange serves one request: it tries endpoints until one has answered.
//
// An exchange must not be used by two goroutines at once.
type exchange struct {
	gateway *Gateway
	request *request
	http    *http.Request

	tried    map[ryeford.EndpointID]bool
	sent     int // endpoints that the request was sent to
	unsent   int // tries that never reached one
	maybeRan bool
	// answered says that the last try brought a whole answer, though a failure.
	answered bool

	relay relay
}

// An outcome is what came of one try.
type outcome int

const (
	outcomeDone    outcome = iota // the caller has its answer
	outcomeUnsent                 // nothing has reached the endpoint
	outcomeNotRun                 // the endpoint promises that it did not run
	outcomeFailed                 // an answer that is a failure, or none
	outcomeStopped                // the caller is gone, or its time is over
)

// serve answers the request.
func (x *exchange) serve(ctx context.Context, w http.ResponseWriter) {
	x.relay = relay{exchange: x, writer: w, control: http.NewResponseController(w)}
	var last error
	for {
		to, holder := x.choose()
		if to == nil && x.answered {
			// There is no other: one that answers is better than none.
			clear(x.tried)
			to, holder = x.choose()
		}
		if to == nil {
			x.giveUp(&ryeford.NotRunError{Reason: ryeford.ReasonNoCandidate, RetryAfter: retryNobody}, last)
			return
		}
		result, err := x.try(ctx, to, holder)
		if result == outcomeDone {
			return
		}
		last = err
		if result == outcomeStopped || !x.mayGoOn(ctx, result) {
			x.giveUp(err, last)
			return
		}
	}
}

// mayGoOn reports whether another endpoint may be tried.
func (x *exchange) mayGoOn(ctx context.Context, result outcome) bool {
	if ctx.Err() != nil {
		return false
	}
	if result == outcomeUnsent {
		x.unsent++
		return x.unsent < maxUnsent
	}
	if result == outcomeFailed && !x.request.rule.Idempotent() {
		return false
	}
	if x.sent >= x.request.rule.MaxAttempts {
		return false
	}
	now := time.Now()
	return x.gateway.window(x.request.service).Repeat(now, x.gateway.routers(now))
}

// forwardMeta returns what an endpoint is told of the request.
func (x *exchange) forwardMeta(to *roster.Entry, holder *roster.Entry) *ryeford.ForwardMeta {
	q := x.request
	meta := &ryeford.ForwardMeta{
		Request:   q.meta.ID,
		Endpoint:  to.ID,
		Timeout:   time.Until(q.deadline),
		Account:   q.accountID(),
		Priority:  q.priority(),
		LastEvent: x.relay.lastEvent(),
	}
	if holder != nil {
		meta.FetchFrom = holder.Address
	}
	return meta
}

// try sends the request to one endpoint and passes its answer on.
func (x *exchange) try(ctx context.Context, to, holder *roster.Entry) (outcome, error) {
	g, q := x.gateway, x.request
	x.tried[to.ID] = true
	x.answered = false
	attempt, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if limit, ok := x.patience(); ok {
		timer := time.AfterFunc(limit, func() { cancel(&impatientError{}) })
		defer timer.Stop()
		x.relay.onFirst = func() { timer.Stop() }
	}
	g.loads.Begin(to.ID)
	defer g.loads.End(to.ID)
	number := g.detector.Start(time.Now(), to.ID)
	answer, err := g.pool.Send(attempt, &to.Endpoint, &endpoint.Request{
		ID:      q.meta.ID,
		Method:  x.http.Method,
		Target:  x.http.RequestURI,
		Host:    x.http.Host,
		Header:  g.platform.Protocol.ForwardHeader(x.http.Header, x.forwardMeta(to, holder)),
		Body:    q.body,
		HasBody: q.hasBody,
	}, func() error { return x.checkSend(to) })
	g.detector.End(time.Now(), to.ID, number, err == nil)
	if err != nil {
		return x.noteFailure(ctx, attempt, to, err)
	}
	defer answer.Close()
	x.sent++
	g.loads.Report(time.Now(), to.ID, answer.Meta.Load)
	return x.take(ctx, attempt, to, answer)
}

// patience returns how long a try may go without an answer while another one is
// allowed.
func (x *exchange) patience() (time.Duration, bool) {
	rule := x.request.rule
	if !rule.Idempotent() || rule.Goal <= 0 || x.sent+1 >= rule.MaxAttempts {
		return 0, false
	}
	return time.Duration(patience * float64(rule.Goal)), true
}

// checkSend is called right before the first byte is sent: nothing may have
// passed that makes the request unlawful by now.
func (x *exchange) checkSend(to *roster.Entry) error {
	g, q := x.gateway, x.request
	if !g.roster.Accepts(to.ID) {
		return &ryeford.NotRunError{Reason: ryeford.ReasonLeaving}
	}
	if !q.keyed() {
		return nil
	}
	if !g.configuration.reliable(time.Now()) {
		return &ryeford.NotRunError{Reason: ryeford.ReasonStaleConfiguration, RetryAfter: retryStale}
	}
	if current := g.configuration.current(); current != q.catalog && current.Account(q.meta.Key) == nil {
		return &ryeford.NotRunError{Reason: ryeford.ReasonKeyRevoked, RetryAfter: retryStale}
	}
	return nil
}

// noteFailure takes a try that brought no answer.
func (x *exchange) noteFailure(ctx, attempt context.Context, to *roster.Entry, err error) (outcome, error) {
	g := x.gateway
	var unsent *endpoint.UnsentError
	var notRun *ryeford.NotRunError
	result := outcomeFailed
	switch {
	case errors.As(err, &notRun):
		result = outcomeUnsent
		if notRun.Reason != ryeford.ReasonLeaving {
			x.noteTry(to, result, err)
			return outcomeStopped, notRun
		}
	case errors.As(err, &unsent):
		result = outcomeUnsent
		if ctx.Err() == nil {
			g.detector.Eject(time.Now(), to.ID, outlier.UnreachableEjection)
		}
	default:
		x.sent++
		x.maybeRan = true
		if ctx.Err() == nil {
			g.detector.Failed(time.Now(), to.ID)
		}
	}
	if ctx.Err() != nil {
		x.noteTry(to, result, err)
		return outcomeStopped, x.stopped(ctx)
	}
	if cause := context.Cause(attempt); cause != nil {
		err = cause
	}
	x.noteTry(to, result, err)
	if result == outcomeUnsent {
		return result, &ryeford.NotRunError{Reason: ryeford.ReasonUnreachable, RetryAfter: retryNobody}
	}
	return result, &ryeford.UnknownError{Reason: ryeford.ReasonEngineLost, Err: err}
}

// stopped returns why a request can't go on: its time is over, or its caller is
// gone.
func (x *exchange) stopped(ctx context.Context) error {
	reason := ryeford.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = ryeford.ReasonDeadline
	}
	if !x.maybeRan {
		return &ryeford.NotRunError{Reason: reason, RetryAfter: retryFull}
	}
	return &ryeford.UnknownError{Reason: reason}
}

// take judges an answer's head and passes the answer on.
func (x *exchange) take(ctx, attempt context.Context, to *roster.Entry, answer *endpoint.Response) (outcome, error) {
	g := x.gateway
	if answer.Meta.NotRun {
		_, _ = answer.ReadAll(maxWhole)
		if answer.Status == http.StatusMisdirectedRequest {
			g.detector.Eject(time.Now(), to.ID, outlier.MisdirectedEjection)
		} else {
			g.detector.Failed(time.Now(), to.ID)
		}
		err := &ryeford.NotRunError{Reason: ryeford.ReasonOverload, RetryAfter: retryFull}
		x.noteTry(to, outcomeNotRun, err)
		return outcomeNotRun, err
	}
	x.maybeRan = true
	if q := x.request; q.shared && answer.Status < http.StatusMultipleChoices {
		shared := q.sharedParts()
		g.prefixes.Add(time.Now(), to.ID, shared)
		g.gossip.addPrompt(to.ID, shared)
	}
	result, err := x.relay.pass(attempt, answer)
	switch {
	case result == outcomeDone && answer.Status < http.StatusInternalServerError:
		g.detector.Succeeded(time.Now(), to.ID)
	case ctx.Err() == nil:
		g.detector.Failed(time.Now(), to.ID)
	}
	if result != outcomeDone && ctx.Err() != nil {
		result, err = outcomeStopped, x.stopped(ctx)
	}
	x.noteTry(to, result, err)
	if result == outcomeDone {
		x.noteAnswer(to, answer.Status)
	}
	return result, err
}

// giveUp tells the caller that the request is not answered.
func (x *exchange) giveUp(err, last error) {
	g, q := x.gateway, x.request
	verdict := giveup.Decide(giveup.Request{Err: err, Last: last, MayHaveRun: x.maybeRan, Begun: x.relay.begun})
	g.metrics.Count("ryeford_given_up_total", verdict.Reason)
	_ = g.log.Log("decision", "give_up", "request", q.meta.ID, "route", q.rule.Name, "account", q.accountID(), "service", q.service,
		"sent", x.sent, "unsent", x.unsent, "may_have_run", x.maybeRan, "begun", x.relay.begun, "events", x.relay.events,
		"version", q.catalog.Version(), "status", verdict.Status, "reason", verdict.Reason, "took", roundTime(time.Since(q.arrived)), "err", verdict.Err)
	if verdict.Abort {
		// An answer that has begun must not look complete.
		panic(http.ErrAbortHandler)
	}
	g.writeRefusal(x.relay.writer, q.meta.ID, &verdict)
}

// noteTry logs a try that did not answer the caller.
func (x *exchange) noteTry(to *roster.Entry, result outcome, err error) {
	if result == outcomeDone {
		return
	}
	g, q := x.gateway, x.request
	g.metrics.Count("ryeford_tries_failed_total", result.String())
	_ = g.log.Log("decision", "try_failed", "request", q.meta.ID, "endpoint", to.ID, "address", to.Address,
		"outcome", result, "sent", x.sent, "events", x.relay.events, "took", roundTime(time.Since(q.arrived)), "err", err)
}

// noteAnswer logs an answer that the caller has whole.
func (x *exchange) noteAnswer(to *roster.Entry, status int) {
	g, q := x.gateway, x.request
	took := time.Since(q.arrived)
	g.durations.note(q.rule, took)
	g.metrics.Count("ryeford_answered_total", "")
	g.metrics.Observe("ryeford_answer_seconds", took.Seconds())
	_ = g.log.Log("decision", "answer", "request", q.meta.ID, "route", q.rule.Name, "endpoint", to.ID, "status", status,
		"sent", x.sent, "unsent", x.unsent, "events", x.relay.events, "first", roundTime(x.relay.first), "took", roundTime(took))
}

// String returns the code of an outcome.
func (o outcome) String() string {
	return [...]string{"done", "unsent", "not_run", "failed", "stopped"}[o]
}

// An impatientError says that a try was given up for another one.
type impatientError struct{}

// Error returns the text of e.
func (*impatientError) Error() string { return "no answer in time: another endpoint is tried" }
