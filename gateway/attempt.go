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

// attempt sends the request to one endpoint and passes the response on. The error states why
// the attempt did not answer the caller.
func (x *exchange) attempt(ctx context.Context, to, source *roster.Entry) (retry.End, error) {
	f := x.forwarder
	x.tried[to.ID] = true
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() { x.retryCharged = timedOut(attemptCtx) }()
	stopTimer := x.startPerTryTimeout(cancel)
	defer stopTimer()
	sent := clock.Now()
	x.relay.onFirstResponse = func() {
		stopTimer()
		f.minResponseTimes.add(clock.Now(), x.request.service, clock.Since(sent))
	}
	f.loads.Begin(to.ID, x.request.service)
	defer f.loads.End(to.ID)
	if x.request.hasSharedPrefix {
		f.loads.BeginPrompt(x.request.affinity)
		defer f.loads.EndPrompt(x.request.affinity)
	}
	f.overload.Begin(x.request.service)
	defer f.overload.End(x.request.service)
	x.attemptStarted = sent
	x.bindStream(to)
	response, err := x.observedSend(attemptCtx, to, source)
	if err != nil {
		if timedOut(attemptCtx) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The endpoint's open connections may be dead without having been reset. Idle ones
			// are closed so that they don't delay further requests.
			f.pool.CloseUnused(to.ID, sent)
		}
		return x.endUnanswered(ctx, attemptCtx, to, err)
	}
	defer response.Close()
	x.recordReport(to, &response.Meta.Report)
	f.loads.Report(clock.Now(), to.ID, response.Meta.Report.Load)
	f.overload.Report(clock.Now(), x.request.service, to.Slots, response.Meta.Report.Load)
	if response.Meta.NotRun {
		return x.endRefused(to, response)
	}
	return x.receive(ctx, attemptCtx, to, response)
}

// startPerTryTimeout starts the attempt's timeout, if it has one, and returns a function that
// stops it. The timeout ends the attempt only if the retry budget allows a retry: otherwise the
// endpoint's late response is the only one that can arrive.
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

// observedSend calls send and reports its start and end to the outlier detector. The end is
// reported after a panic too, because the endpoint would otherwise count as unresponsive.
func (x *exchange) observedSend(ctx context.Context, to, source *roster.Entry) (response *endpoint.Response, err error) {
	detector := x.forwarder.detector
	number := detector.Start(clock.Now(), to.ID)
	defer func() { detector.End(clock.Now(), to.ID, number, response != nil) }()
	return x.send(ctx, to, source)
}

// send sends the request and waits for the header of the response.
func (x *exchange) send(ctx context.Context, to, source *roster.Entry) (*endpoint.Response, error) {
	f, q := x.forwarder, x.request
	return f.pool.Send(ctx, &to.Endpoint, &endpoint.Request{
		ID:            q.meta.ID,
		Method:        x.incoming.Method,
		Target:        x.incoming.RequestURI,
		Host:          x.incoming.Host,
		Header:        f.protocol.ForwardHeader(x.incoming.Header, x.forwardMeta(to, source)),
		Body:          q.body,
		HasBody:       q.hasBody,
		NotRepeatable: !q.rule.Idempotent(),
	}, func() error { return x.checkSend(to) })
}

// forwardMeta returns the metadata that is sent to an endpoint with the request.
func (x *exchange) forwardMeta(to, source *roster.Entry) *ryeford.ForwardMeta {
	q := x.request
	meta := &ryeford.ForwardMeta{
		Request:   q.meta.ID,
		Endpoint:  to.ID,
		Timeout:   clock.Until(q.deadline),
		Account:   q.accountID(),
		Priority:  q.priority(),
		LastEvent: x.relay.lastEventID,
	}
	if source != nil {
		meta.FetchFrom = source.Address
	}
	return meta
}

// checkSend is called immediately before the first byte is sent. Its error is a
// *ryeford.NotRunError.
func (x *exchange) checkSend(to *roster.Entry) error {
	f, now := x.forwarder, clock.Now()
	s := x.sendState(now)
	s.ExclusionReason = f.exclusionReason(now, f.roster.Entry(to.ID))
	if err := admit.CheckSend(s); err != nil {
		return err
	}
	x.recordSoftware(to)
	return nil
}

// sendState returns the inputs of the decision whether the request may still be sent, without
// those that depend on the endpoint.
func (x *exchange) sendState(now time.Time) admit.SendState {
	f, q := x.forwarder, x.request
	current := f.configuration.current()
	unchanged := current == q.catalog
	return admit.SendState{
		RouteFound: unchanged || findRoute(current, x.incoming) != nil,
		NeedsKey:   q.admittedByKey(),
		Reliable:   f.configuration.reliable(now),
		ServesKeys: f.configuration.servesKeys(now),
		KeyFound:   unchanged || current.Account(q.meta.Key) != nil,
	}
}

// endUnanswered ends an attempt without a usable response.
func (x *exchange) endUnanswered(ctx, attemptCtx context.Context, to *roster.Entry, err error) (retry.End, error) {
	end := classifySendError(err)
	if end.MayHaveRun() {
		x.countSent(true)
	}
	ctxDone := ctx.Err() != nil
	if end == retry.EndLost && !ctxDone {
		x.recordLostAttempt(to, err)
	}
	var blocked *ryeford.NotRunError // returned by checkSend
	errors.As(err, &blocked)
	rateAttempt(attemptEnd{end: end, blocked: blocked != nil, ctxDone: ctxDone}).report(x.forwarder.detector, to.ID)
	if cause := context.Cause(attemptCtx); cause != nil && !ctxDone && end != retry.EndForbidden {
		err = cause
	}
	if end == retry.EndUnsent && endpoint.ConnectionRefused(err) {
		x.forwarder.quarantine.recordGone(to)
	}
	x.recordFailed(to, end, err)
	switch {
	case end == retry.EndForbidden:
		return end, blocked
	case ctxDone:
		return end, x.stopError(ctx)
	case end == retry.EndUnsent:
		return end, giveup.NotRun(ryeford.ReasonUnreachable)
	}
	return end, &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost, Err: err}
}

// classifySendError returns how an attempt ended, given the error of sending its request.
func classifySendError(err error) retry.End {
	var notRun *ryeford.NotRunError
	var unsent *endpoint.UnsentError
	switch {
	case errors.As(err, &notRun) && !admit.ConcernsEndpoint(notRun.Reason):
		return retry.EndForbidden
	case errors.As(err, &notRun), errors.As(err, &unsent):
		return retry.EndUnsent
	}
	return retry.EndLost
}

// endRefused ends an attempt that the endpoint reports not to have run.
func (x *exchange) endRefused(to *roster.Entry, response *endpoint.Response) (retry.End, error) {
	x.countSent(false)
	response.CloseUnread(maxBufferedBody)
	if response.Status == http.StatusMisdirectedRequest {
		x.forwarder.roster.MarkMisdirected(to.ID)
		x.forwarder.quarantine.recordGone(to)
	} else if response.Meta.Report.Load == nil {
		x.forwarder.overload.Rejected(clock.Now(), x.request.service, x.decision)
	}
	backoff := response.Meta.Report.RetryAfter > 0
	rateAttempt(attemptEnd{end: retry.EndRefused, status: response.Status, full: x.isFull(to, response), backoff: backoff}).report(x.forwarder.detector, to.ID)
	err := giveup.NotRun(ryeford.ReasonOverload)
	x.recordFailed(to, retry.EndRefused, err)
	return retry.EndRefused, err
}

// isFull reports whether an endpoint that refused the request has at least one request for each
// of its slots, by its status report or else by the estimated load. It is false if the number
// of slots is unknown.
func (x *exchange) isFull(to *roster.Entry, response *endpoint.Response) bool {
	if to.Slots <= 0 {
		return false
	}
	if load := response.Meta.Report.Load; load != nil {
		return load.Running+load.Waiting >= to.Slots
	}
	return x.forwarder.estimatedLoad(clock.Now(), to) >= float64(to.Slots)
}

// receive passes a response on unless it is withheld.
func (x *exchange) receive(ctx, attemptCtx context.Context, to *roster.Entry, response *endpoint.Response) (retry.End, error) {
	x.countSent(true)
	x.recordPrompt(to, response.Status)
	x.relay.endedByCrash = func() bool { return x.forwarder.endedByCrash(to) }
	end, err := x.relay.forward(attemptCtx, response, x.shouldWithhold(response.Status))
	ctxDone := ctx.Err() != nil
	if response.Meta.Report.Load == nil && (end == retry.EndAnswered || end == retry.EndFailed) {
		x.forwarder.overload.Answered(clock.Now(), x.request.service, clock.Since(x.attemptStarted))
	}
	rateAttempt(attemptEnd{end: end, status: response.Status, ctxDone: ctxDone}).report(x.forwarder.detector, to.ID)
	if end == retry.EndAnswered {
		x.recordAnswered(to, response.Status)
		return end, nil
	}
	if ctxDone {
		end, err = retry.EndStopped, x.stopError(ctx)
	}
	if end == retry.EndLost {
		x.recordLostAttempt(to, err)
	}
	x.recordFailed(to, end, err)
	return end, err
}

// countSent counts an attempt that was sent. mayHaveRun is false if the endpoint reported that
// it did not run the request.
func (x *exchange) countSent(mayHaveRun bool) {
	x.history.Sent++
	x.mayHaveRun = x.mayHaveRun || mayHaveRun
}

// recordPrompt records, for this router and its peers, that an endpoint that accepted the
// request now holds the shared parts of its prompt.
func (x *exchange) recordPrompt(to *roster.Entry, status int) {
	if !x.request.hasSharedPrefix || status >= http.StatusMultipleChoices {
		return
	}
	shared := x.request.sharedParts()
	x.forwarder.prefixes.Add(clock.Now(), to.ID, shared)
	x.forwarder.gossip.addPrompt(to.ID, shared, x.sentToHome)
}

// A perTryTimeoutError reports that an attempt was canceled in favor of a retry, because no
// response arrived within the per-try timeout.
type perTryTimeoutError struct{}

// timedOut reports whether the per-try timeout ended an attempt.
func timedOut(attemptCtx context.Context) bool {
	var timeout *perTryTimeoutError
	return errors.As(context.Cause(attemptCtx), &timeout)
}

func (*perTryTimeoutError) Error() string { return "no response within the per-try timeout" }
