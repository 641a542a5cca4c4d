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

// Requests with an idempotency key that must not run twice.
//
// The key is claimed in the platform's table before the first dispatch, for one attempt
// and its candidates. If another request has already claimed the key, this request
// joins the first run. While the first dispatch may still be in progress, the
// candidates are only queried. After that, each one is asked for the answer, and a
// candidate that has not admitted the attempt will refuse it from then on. The claim is
// replaced only if every candidate replies that it did not admit the attempt. If one
// does not reply, the outcome is unknown.

const (
	// releaseTimeout limits the release of a claim. A write takes a few milliseconds, and no caller waits
	// for it.
	releaseTimeout = 2 * time.Second

	// storeRetryAfter is the retry delay for a caller whose key could not be claimed.
	storeRetryAfter = 2 * time.Second

	// peekInterval is the interval between two queries for another request's run.
	peekInterval = 50 * time.Millisecond
)

// A claimStep is what follows the claim of a key.
type claimStep int

const (
	claimDispatch  claimStep = iota // the key is claimed for this request
	claimKeyReused                  // the key belongs to a request with different content
	claimJoinFirst                  // an earlier copy of the request claimed the key
)

// claimStepFor returns what follows a claim for a request with this digest.
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
// If the key is already claimed, it joins the first run, or replaces the claim if there
// was no run.
func (x *exchange) startClaimed(ctx context.Context) error {
	key := claim.Key{Account: x.request.account, Key: x.request.key}
	held, err := x.forwarder.claims.Claim(ctx, key, x.newRecord())
	if err != nil {
		return x.claimFailed(err)
	}
	switch claimStepFor(held, x.request.digest) {
	case claimKeyReused:
		return &ryeford.InputError{Field: HeaderIdempotencyKey, Problem: "the key belongs to another request", Status: statusKeyReused}
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
		return &ryeford.MayHaveRunError{Reason: ryeford.ReasonRunning, RetryAfter: retry.Jitter(x.forwarder.limits.Dispatch)}
	}
	return x.dispatchClaimed(ctx, held)
}

// dispatchClaimed dispatches to the candidates of a claim that this request acquired.
// If the attempt did not run, it releases the claim in the background, so that the
// caller's response need not wait.
func (x *exchange) dispatchClaimed(ctx context.Context, held *claim.Claim) error {
	err := x.dispatchQueue(ctx)
	if _, ok := errors.AsType[*ryeford.NotRunError](err); ok {
		go x.forwarder.releaseClaim(context.WithoutCancel(ctx), x.request.id, held)
	}
	return err
}

// releaseClaim releases a claim whose attempt did not run. If that fails, the caller's
// next request with the key has to ask the candidates first.
func (f *forwarder) releaseClaim(ctx context.Context, request ryeford.RequestID, held *claim.Claim) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := f.claims.Release(ctx, held); err != nil {
		account := held.Key.Account
		_ = f.log.Log("msg", "cannot release the claim of an attempt that did not run; the next request with its key asks the candidates first", "request", request, "account", account, "err", err)
	}
}

// newRecord creates a new attempt and returns the record that claims it.
func (x *exchange) newRecord() claim.Record {
	x.attempt = newAttempt(time.Now(), x.forwarder.limits, true)
	return claim.Record{
		Attempt:    x.attempt,
		Request:    x.request.id,
		Digest:     x.request.digest,
		Candidates: x.candidates.queue,
	}
}

// claimFailed logs that a key could not be claimed, and returns the caller's error. At
// this point nothing has been dispatched.
func (x *exchange) claimFailed(err error) error {
	req := x.request
	x.forwarder.decisions.Record(req.id, "decision", "refuse", "request", req.id, "account", req.account,
		"chat", req.chat, "reason", ryeford.ReasonStoreUnavailable, "err", err)
	return &ryeford.NotRunError{Reason: ryeford.ReasonStoreUnavailable, RetryAfter: retry.Jitter(storeRetryAfter)}
}

// joinFirstRun joins the run of the request that claimed the key, and reports whether
// the run was found. If it was not and there is no error, the claimed attempt did not
// run and never will. The exchange continues with the first request's attempt and ID,
// since agents send the answer under that ID.
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
		return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, RetryAfter: retry.Jitter(x.forwarder.limits.Dispatch)}
	}
	return false, nil
}

// peekUntilExpired looks for the first run while its dispatch may still be in progress,
// without preventing its admission. An agent that does not reply is asked again,
// finally by joinFirstRun.
func (x *exchange) peekUntilExpired(ctx context.Context, record *claim.Record) (bool, error) {
	for time.Now().Before(record.Expires) {
		for _, c := range record.Candidates {
			if found, _ := x.joinAt(ctx, c, true); found {
				return true, x.awaitFirstChunk(ctx)
			}
		}
		if time.Now().After(x.request.deadline) {
			return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonRunning, RetryAfter: retry.Jitter(time.Until(record.Expires))}
		}
		if !clock.Sleep(ctx, peekInterval) {
			return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonRunning}
		}
	}
	return false, nil
}

// joinAt joins the attempt at one candidate, and reports whether it was found there. An
// error means that this is unknown.
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
	if reply.Refused != nil && !reply.Refused.MayHaveRun {
		return false, nil
	}
	return false, &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable}
}
