package router

import (
	"context"
	"errors"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/retry"
)

// startClaimed claims the caller's key and then tries the claim's candidates.
// Where the key is claimed already, it joins the first run, or finds out that
// there was none.
func (x *exchange) startClaimed(ctx context.Context) error {
	key := claim.Key{Account: x.request.account, Key: x.request.key}
	held, err := x.router.claims.Claim(ctx, key, x.newRecord())
	if err != nil {
		return x.claimFailed(err)
	}
	if held.Mine {
		return x.dispatchClaimed(ctx, key, held)
	}
	if held.Record.Digest != x.request.digest {
		return &ryeford.InputError{Field: HeaderKey, Problem: "the key belongs to another request", Status: statusKeyReused}
	}
	settled, err := x.joinFirst(ctx, held)
	if settled || err != nil {
		return err
	}
	replaced, err := x.router.claims.Replace(ctx, key, held, x.newRecord())
	if err != nil {
		return x.claimFailed(err)
	}
	if !replaced.Mine {
		return &ryeford.UnknownError{Reason: ryeford.ReasonRunning, RetryAfter: retry.Spread(x.router.settings.Limits.Dispatch)}
	}
	return x.dispatchClaimed(ctx, key, replaced)
}

// dispatchClaimed tries the candidates of a claim of ours. Where the attempt did
// not run, it gives the claim up.
func (x *exchange) dispatchClaimed(ctx context.Context, key claim.Key, held *claim.Claim) error {
	err := x.dispatchQueue(ctx)
	var notRun *ryeford.NotRunError
	if errors.As(err, &notRun) {
		go func() {
			release, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			_ = x.router.claims.Release(release, key, held)
		}()
	}
	return err
}

const releaseTimeout = 2 * time.Second

// newRecord names a new attempt and returns the record that claims it.
func (x *exchange) newRecord() claim.Record {
	x.newAttempt(time.Now())
	return claim.Record{
		Attempt:    x.attempt,
		Request:    x.request.id,
		Digest:     x.request.digest,
		Expires:    x.expires,
		Forget:     x.forget,
		Candidates: x.queue,
	}
}

// claimFailed logs that a key could not be claimed. Nothing was dispatched.
func (x *exchange) claimFailed(err error) error {
	_ = x.router.decisions.Note(x.request.id, "decision", "refuse", "request", x.request.id, "account", x.request.account,
		"chat", x.request.chat, "reason", ryeford.ReasonStoreUnavailable, "err", err)
	return &ryeford.NotRunError{Reason: ryeford.ReasonStoreUnavailable, RetryAfter: retry.Spread(storeRetryAfter)}
}

const storeRetryAfter = 2 * time.Second

// joinFirst joins the run of a claim that another request made. It reports
// whether the run was found; where it was not and there is no error, the
// claim's attempt did not run and never will.
func (x *exchange) joinFirst(ctx context.Context, held *claim.Claim) (bool, error) {
	record := &held.Record
	mine := *x
	x.attempt, x.expires, x.forget = record.Attempt, record.Expires, record.Forget
	x.request.id = record.Request
	if found, err := x.peekUntilExpired(ctx, record); found || err != nil {
		return found, err
	}
	unknown := 0
	for _, c := range record.Candidates {
		found, err := x.joinAt(ctx, c, false)
		switch {
		case found:
			return true, x.awaitFirst(ctx)
		case err != nil:
			unknown++
		}
	}
	x.request.id = mine.request.id
	x.attempt, x.expires, x.forget = mine.attempt, mine.expires, mine.forget
	if unknown > 0 {
		return false, &ryeford.UnknownError{Reason: ryeford.ReasonUnreachable, RetryAfter: retry.Spread(x.router.settings.Limits.Dispatch)}
	}
	return false, nil
}

const peekInterval = 50 * time.Millisecond

// peekUntilExpired looks for the first run while its dispatch may still be on
// its way, so as not to stop it.
func (x *exchange) peekUntilExpired(ctx context.Context, record *claim.Record) (bool, error) {
	for time.Now().Before(record.Expires) {
		for _, c := range record.Candidates {
			if found, _ := x.joinAt(ctx, c, true); found {
				return true, x.awaitFirst(ctx)
			}
		}
		if time.Now().After(x.request.deadline) {
			return false, &ryeford.UnknownError{Reason: ryeford.ReasonRunning, RetryAfter: retry.Spread(time.Until(record.Expires))}
		}
		select {
		case <-time.After(peekInterval):
		case <-ctx.Done():
			return false, &ryeford.UnknownError{Reason: ryeford.ReasonRunning}
		}
	}
	return false, nil
}

// joinAt joins the attempt at one candidate. It reports whether it was found
// there; an error says that this is not known.
func (x *exchange) joinAt(ctx context.Context, c claim.Candidate, peek bool) (bool, error) {
	limit := time.Now().Add(x.router.settings.Limits.Dispatch)
	reply, stream, err := x.join(ctx, c, peek, limit)
	if err != nil {
		return false, &ryeford.UnknownError{Reason: ryeford.ReasonUnreachable, Err: err}
	}
	switch {
	case reply.Admitted != nil:
		x.candidate = c
		x.request.id = reply.Admitted.Request
		x.stream = stream
		x.asm = answer.NewAssembler(x.attempt, x.next)
		return true, nil
	case reply.Refused != nil && !reply.Refused.Unknown:
		stream.Close()
		return false, nil
	}
	stream.Close()
	return false, &ryeford.UnknownError{Reason: ryeford.ReasonUnreachable}
}
