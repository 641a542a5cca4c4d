package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// attempt sends the request to one endpoint and passes the response on. The error says
// why the attempt did not answer the caller.
func (x *exchange) attempt(ctx context.Context, to, source *roster.Entry) (retry.End, error) {
	f := x.forwarder
	x.tried[to.ID] = true
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() { x.paid = timedOut(attemptCtx) }()
	stopTimer := x.startPerTryTimeout(cancel)
	defer stopTimer()
	sent := clock.Now()
	x.relay.onFirst = func() {
		stopTimer()
		f.fastest.add(clock.Now(), x.request.service, clock.Since(sent))
	}
	f.loads.Begin(to.ID, x.request.service)
	defer f.loads.End(to.ID)
	if x.request.shared {
		f.loads.BeginPrompt(x.request.affinity)
		defer f.loads.EndPrompt(x.request.affinity)
	}
	f.occupancy.Begin(x.request.service)
	defer f.occupancy.End(x.request.service)
	x.began = sent
	response, err := x.observedSend(attemptCtx, to, source)
	if err != nil {
		if timedOut(attemptCtx) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The endpoint's open connections may have gone silent, without a reset, and each
			// that is idle would cost another request its time.
			f.pool.CloseUnused(to.ID, sent)
		}
		return x.endUnanswered(ctx, attemptCtx, to, err)
	}
	defer response.Close()
	x.recordReport(to, &response.Meta.Report)
	f.loads.Report(clock.Now(), to.ID, response.Meta.Report.Load)
	f.occupancy.Report(clock.Now(), x.request.service, to.Slots, response.Meta.Report.Load)
	if response.Meta.NotRun {
		return x.endRefused(to, response)
	}
	return x.receive(ctx, attemptCtx, to, response)
}

// startPerTryTimeout starts the attempt's timeout, if it has one, and returns what stops
// it. An attempt is given up only if the retry budget has the retry that follows: without
// one the endpoint's late response is the only one that can come.
func (x *exchange) startPerTryTimeout(cancel context.CancelCauseFunc) (stop func()) {
	timeout, ok := x.policy.PerTryTimeout(x.history.Sent)
	if !ok {
		return func() {}
	}
	timer := time.AfterFunc(timeout, func() {
		if x.takeRetry() {
			cancel(&perTryTimeoutError{})
		}
	})
	return func() { timer.Stop() }
}

// observedSend sends the request as send does, and has the detector of outliers observe it. Its end is noted
// after a panic, too: the endpoint would count as silent for good.
func (x *exchange) observedSend(ctx context.Context, to, source *roster.Entry) (response *endpoint.Response, err error) {
	detector := x.forwarder.detector
	number := detector.Start(clock.Now(), to.ID)
	defer func() { detector.End(clock.Now(), to.ID, number, response != nil) }()
	return x.send(ctx, to, source)
}

// send sends the request and waits for the head of the response.
func (x *exchange) send(ctx context.Context, to, source *roster.Entry) (*endpoint.Response, error) {
	f, q := x.forwarder, x.request
	return f.pool.Send(ctx, &to.Endpoint, &endpoint.Request{
		ID:      q.meta.ID,
		Method:  x.incoming.Method,
		Target:  x.incoming.RequestURI,
		Host:    x.incoming.Host,
		Header:  f.protocol.ForwardHeader(x.incoming.Header, x.forwardMeta(to, source)),
		Body:    q.body,
		HasBody: q.hasBody,
		Once:    !q.rule.Idempotent(),
	}, func() error { return x.checkSend(to) })
}

// forwardMeta returns the metadata that the request is sent to an endpoint with.
func (x *exchange) forwardMeta(to, source *roster.Entry) *ryeford.ForwardMeta {
	q := x.request
	meta := &ryeford.ForwardMeta{
		Request:   q.meta.ID,
		Endpoint:  to.ID,
		Timeout:   clock.Until(q.deadline),
		Account:   q.accountID(),
		Priority:  q.priority(),
		LastEvent: x.relay.lastID,
	}
	if source != nil {
		meta.FetchFrom = source.Address
	}
	return meta
}

// checkSend is called right before the first byte is sent. Its error is a
// *ryeford.NotRunError.
func (x *exchange) checkSend(to *roster.Entry) error {
	f, now := x.forwarder, clock.Now()
	s := x.sending(now)
	s.Hindrance = f.hindrance(now, f.roster.Entry(to.ID))
	return admit.CheckSend(s)
}

// sending returns what decides whether the request may still be sent, to an endpoint that takes it.
func (x *exchange) sending(now time.Time) admit.Sending {
	f, q := x.forwarder, x.request
	current := f.configuration.current()
	same := current == q.catalog
	return admit.Sending{
		RouteFound: same || findRoute(current, x.incoming) != nil,
		NeedsKey:   q.keyed(),
		Reliable:   f.configuration.reliable(now),
		ServesKeys: f.configuration.servesKeys(now),
		KeyFound:   same || current.Account(q.meta.Key) != nil,
	}
}

// endUnanswered ends an attempt that brought no response, or none that may be used.
func (x *exchange) endUnanswered(ctx, attemptCtx context.Context, to *roster.Entry, err error) (retry.End, error) {
	end := endOf(err)
	if end.MayHaveRun() {
		x.countSent(true)
	}
	over := ctx.Err() != nil
	if end == retry.EndLost && !over {
		x.recordLost(to, err)
	}
	var withdrawn *ryeford.NotRunError // by checkSend
	errors.As(err, &withdrawn)
	rate(attemptEnd{end: end, withdrawn: withdrawn != nil, over: over}).report(x.forwarder.detector, to.ID)
	if cause := context.Cause(attemptCtx); cause != nil && !over && end != retry.EndBarred {
		err = cause
	}
	x.recordFailed(to, end, err)
	switch {
	case end == retry.EndBarred:
		return end, withdrawn
	case over:
		return end, x.stopped(ctx)
	case end == retry.EndUnsent:
		return end, giveup.NotRun(ryeford.ReasonUnreachable)
	}
	return end, &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost, Err: err}
}

// endOf returns how an attempt ended, given the error of sending it.
func endOf(err error) retry.End {
	var notRun *ryeford.NotRunError
	var unsent *endpoint.UnsentError
	switch {
	case errors.As(err, &notRun) && !admit.OfEndpoint(notRun.Reason):
		return retry.EndBarred
	case errors.As(err, &notRun), errors.As(err, &unsent):
		return retry.EndUnsent
	}
	return retry.EndLost
}

// endRefused ends an attempt that the endpoint states not to have run.
func (x *exchange) endRefused(to *roster.Entry, response *endpoint.Response) (retry.End, error) {
	x.countSent(false)
	// The body is read only so that the connection can be used again; if that fails,
	// it is closed.
	_, _ = response.ReadAll(maxWholeBody)
	rests := response.Meta.Report.Rest > 0
	rate(attemptEnd{end: retry.EndRefused, status: response.Status, full: x.isFull(to, response), rests: rests}).report(x.forwarder.detector, to.ID)
	err := giveup.NotRun(ryeford.ReasonOverload)
	x.recordFailed(to, retry.EndRefused, err)
	return retry.EndRefused, err
}

// isFull reports whether an endpoint that refused the request has one or more for each of its
// slots: by its own word, or else by what is known of its load. Without slots it is not known.
func (x *exchange) isFull(to *roster.Entry, response *endpoint.Response) bool {
	if to.Slots <= 0 {
		return false
	}
	if load := response.Meta.Report.Load; load != nil {
		return load.Running+load.Waiting >= to.Slots
	}
	return x.forwarder.load(clock.Now(), to) >= float64(to.Slots)
}

// receive passes a response on, as far as it may be.
func (x *exchange) receive(ctx, attemptCtx context.Context, to *roster.Entry, response *endpoint.Response) (retry.End, error) {
	x.countSent(true)
	x.recordPrompt(to, response.Status)
	end, err := x.relay.pass(attemptCtx, response, x.withholds(response.Status))
	over := ctx.Err() != nil
	rate(attemptEnd{end: end, status: response.Status, over: over}).report(x.forwarder.detector, to.ID)
	if end == retry.EndAnswered {
		x.recordAnswered(to, response.Status)
		return end, nil
	}
	if over {
		end, err = retry.EndStopped, x.stopped(ctx)
	}
	if end == retry.EndLost {
		x.recordLost(to, err)
	}
	x.recordFailed(to, end, err)
	return end, err
}

// countSent counts an attempt that was sent. mayHaveRun is false if the endpoint has
// stated that it did not run the request.
func (x *exchange) countSent(mayHaveRun bool) {
	x.history.Sent++
	x.mayHaveRun = x.mayHaveRun || mayHaveRun
}

// recordPrompt records, for this router and its peers, that an endpoint that accepted the
// request now holds the shared parts of its prompt.
func (x *exchange) recordPrompt(to *roster.Entry, status int) {
	if !x.request.shared || status >= http.StatusMultipleChoices {
		return
	}
	shared := x.request.sharedParts()
	x.forwarder.prefixes.Add(clock.Now(), to.ID, shared)
	x.forwarder.gossip.addPrompt(to.ID, shared, x.sentHome)
}

// A perTryTimeoutError says that an attempt was given up for another one, because no
// response came in time.
type perTryTimeoutError struct{}

// timedOut reports whether the per-try timeout ended an attempt.
func timedOut(attemptCtx context.Context) bool {
	var timeout *perTryTimeoutError
	return errors.As(context.Cause(attemptCtx), &timeout)
}

// Error returns the text of e.
func (*perTryTimeoutError) Error() string { return "no response within the per-try timeout" }
