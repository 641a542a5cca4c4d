package router

import (
	"context"
	"errors"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// A request with an idempotency key that must not run twice.
//
// Its key is claimed in the platform's table before anything is dispatched, for one
// attempt and its candidates. A key that another request has claimed leads to that
// request's run: while its dispatch may still be under way, the candidates are only
// looked at; after that each is asked for the answer, which also makes sure that an
// attempt that was not admitted never will be. Only if every candidate answers that it
// did not admit the attempt is the claim replaced; one that does not answer leaves the
// outcome unknown.

const (
	// releaseTimeout bounds the release of a claim: it is above the few
	// milliseconds of a write, and no caller waits for it.
	releaseTimeout = 2 * time.Second

	// storeRetryAfter is when a caller is to come back whose key could not be claimed.
	storeRetryAfter = 2 * time.Second

	// peekInterval is the time between two looks at another request's run.
	peekInterval = 50 * time.Millisecond
)

// A claimStep is what follows the claim of a key.
type claimStep int

const (
	claimDispatch  claimStep = iota // the claim is ours
	claimKeyReused                  // the key belongs to a request of another content
	claimJoinFirst                  // the same request has claimed the key before
)

// claimStepFor returns what follows a claim for a request with a digest.
func claimStepFor(held *claim.Claim, digest string) claimStep {
	switch {
	case held.Acquired:
		return claimDispatch
	case held.Record.Digest != digest:
		return claimKeyReused
	}
	return claimJoinFirst
}

// startClaimed claims the caller's key and then dispatches to the claim's candidates.
// If the key is claimed already, it joins the first run, or finds out that there was
// none.
func (x *exchange) startClaimed(ctx context.Context) error {
	key := claim.Key{Account: x.request.account, Key: x.request.key}
	held, err := x.forwarder.claims.Claim(ctx, key, x.newRecord())
	if err != nil {
		return x.claimFailed(err)
	}
	switch claimStepFor(held, x.request.digest) {
	case claimKeyReused:
		return &ryeford.InputError{Field: HeaderKey, Problem: "the key belongs to another request", Status: statusKeyReused}
	case claimJoinFirst:
		if found, err := x.joinFirstRun(ctx, &held.Record); found || err != nil {
			return err
		}
		held, err = x.forwarder.claims.Replace(ctx, held, x.newRecord())
		if err != nil {
			return x.claimFailed(err)
		}
	}
	if !held.Acquired { // another request has replaced the claim
		return &ryeford.MayHaveRunError{Reason: ryeford.ReasonRunning, RetryAfter: retry.Spread(x.forwarder.limits.Dispatch)}
	}
	return x.dispatchClaimed(ctx, held)
}

// dispatchClaimed dispatches to the candidates of a claim of ours. If the attempt did
// not run, it gives the claim up while the caller already has its answer.
func (x *exchange) dispatchClaimed(ctx context.Context, held *claim.Claim) error {
	err := x.dispatchQueue(ctx)
	if _, ok := errors.AsType[*ryeford.NotRunError](err); ok {
		go x.forwarder.releaseClaim(context.WithoutCancel(ctx), x.request.id, held)
	}
	return err
}

// releaseClaim gives up a claim whose attempt did not run. A claim that stays costs the
// caller's next request with the key the joins of joinFirst, and nothing else.
func (f *forwarder) releaseClaim(ctx context.Context, request ryeford.RequestID, held *claim.Claim) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := f.claims.Release(ctx, held); err != nil {
		account := held.Key.Account
		_ = f.log.Log("msg", "claim not released", "request", request, "account", account, "err", err)
	}
}

// newRecord names a new attempt and returns the record that claims it.
func (x *exchange) newRecord() claim.Record {
	x.attempt = newAttempt(time.Now(), x.forwarder.limits, true)
	return claim.Record{
		Attempt:    x.attempt,
		Request:    x.request.id,
		Digest:     x.request.digest,
		Candidates: x.candidates.queue,
	}
}

// claimFailed logs that a key could not be claimed, and returns what the caller gets.
// Nothing was dispatched.
func (x *exchange) claimFailed(err error) error {
	req := x.request
	x.forwarder.decisions.Record(req.id, "decision", "refuse", "request", req.id, "account", req.account,
		"chat", req.chat, "reason", ryeford.ReasonStoreUnavailable, "err", err)
	return &ryeford.NotRunError{Reason: ryeford.ReasonStoreUnavailable, RetryAfter: retry.Spread(storeRetryAfter)}
}

// joinFirstRun joins the run that another request claimed. It reports whether the run was
// found; if it was not and there is no error, the claimed attempt did not run and never
// will. The exchange has the first one's attempt from here on, and the request its id,
// under which agents send the answer.
func (x *exchange) joinFirstRun(ctx context.Context, record *claim.Record) (bool, error) {
	x.attempt = record.Attempt
	x.request.id = record.Request
	if found, err := x.peekUntilExpired(ctx, record); found || err != nil {
		return found, err
	}
	unanswered := 0
	for _, c := range record.Candidates {
		found, err := x.joinAt(ctx, c, false)
		switch {
		case found:
			return true, x.awaitFirstChunk(ctx)
		case err != nil:
			unanswered++
		}
	}
	if unanswered > 0 {
		return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, RetryAfter: retry.Spread(x.forwarder.limits.Dispatch)}
	}
	return false, nil
}

// peekUntilExpired looks for the first run while its dispatch may still be under way,
// without stopping it. An agent that does not answer is asked again, at last by
// joinFirst.
func (x *exchange) peekUntilExpired(ctx context.Context, record *claim.Record) (bool, error) {
	for time.Now().Before(record.Expires) {
		for _, c := range record.Candidates {
			if found, _ := x.joinAt(ctx, c, true); found {
				return true, x.awaitFirstChunk(ctx)
			}
		}
		if time.Now().After(x.request.deadline) {
			return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonRunning, RetryAfter: retry.Spread(time.Until(record.Expires))}
		}
		if !clock.Sleep(ctx, peekInterval) {
			return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonRunning}
		}
	}
	return false, nil
}

// joinAt joins the attempt at one candidate. It reports whether the attempt was found
// there; an error says that this is not known.
func (x *exchange) joinAt(ctx context.Context, c claim.Candidate, peek bool) (bool, error) {
	reply, err := x.join(ctx, c, peek, time.Now().Add(x.forwarder.limits.Dispatch))
	if err != nil {
		return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, Err: err}
	}
	if reply.Admitted != nil {
		x.beginAnswer(reply.Admitted)
		return true, nil
	}
	x.stream.close()
	if reply.Refused != nil && !reply.Refused.Unknown {
		return false, nil
	}
	return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable}
}
