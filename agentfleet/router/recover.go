package router

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// What follows an answer whose stream broke off midway.
//
// If only the connection was lost, the agent still has the answer, and one that must
// not run twice is read on from there, a few times. A repeatable completion does not
// wait for that: it goes on at another engine, which gets the text that the caller
// already has. Everything else ends with an unknown outcome.

// maxRejoins is how often an answer is read on at the same agent after its connection
// was lost.
const maxRejoins = 3

// A lostStream is what is known of an answer that broke off.
type lostStream struct {
	expired    bool // the caller is gone, or its deadline has passed
	reported   bool // the agent reported the loss itself, so it has no more of the answer
	repeatable bool
	call       bool // of a plain service, whose answer has no text to go on from
	rejoins    int  // so far
}

// A recovery is what follows a lost stream.
type recovery int

const (
	recoverNone        recovery = iota // the outcome stays unknown
	recoverExpired                     // the same, since no time is left
	recoverRejoin                      // read on at the same agent
	recoverOtherEngine                 // go on at another engine, for one of the retry budget
)

// recoveryFor returns what follows a lost stream.
func recoveryFor(l lostStream) recovery {
	switch {
	case l.expired:
		return recoverExpired
	case !l.reported && !l.repeatable && l.rejoins < maxRejoins:
		return recoverRejoin
	case !l.repeatable || l.call:
		return recoverNone
	}
	return recoverOtherEngine
}

// recover goes on with an answer whose stream was lost, as afterLostStream says.
func (x *exchange) recover(ctx context.Context, cause error) error {
	lost := lostStream{
		expired:    ctx.Err() != nil || time.Now().After(x.request.deadline),
		reported:   mayHaveRun(cause), // as chunkError makes it; a connection's errors are others
		repeatable: x.request.repeatable,
		call:       x.request.call != nil,
		rejoins:    x.history.rejoins,
	}
	switch recoveryFor(lost) {
	case recoverExpired:
		return &ryeford.MayHaveRunError{Reason: ryeford.ReasonDeadline, Err: cause}
	case recoverRejoin:
		return x.rejoin(ctx, cause)
	case recoverOtherEngine:
		return x.continueOnOtherEngine(ctx, cause)
	}
	return &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost, Err: cause}
}

// rejoin reads on at the agent that keeps the answer. A refusal there proves nothing,
// since a part of the answer was sent.
func (x *exchange) rejoin(ctx context.Context, cause error) error {
	err := x.resolveOutcome(ctx, cause)
	if notRun, ok := errors.AsType[*ryeford.NotRunError](err); ok {
		return &ryeford.MayHaveRunError{Reason: notRun.Reason, Err: cause}
	}
	return err
}

// continueOnOtherEngine goes on at another engine than the lost one.
func (x *exchange) continueOnOtherEngine(ctx context.Context, cause error) error {
	x.forwarder.metrics.Count("ryeford_continued_total", "")
	x.history.mayHaveRun = true
	ranked := x.forwarder.suspects.deprioritize(time.Now(), x.forwarder.rank(x.request))
	lost := x.stream.candidate.Engine
	x.candidates.queue = slices.DeleteFunc(ranked, func(c claim.Candidate) bool { return c.Engine == lost })
	if !x.forwarder.budgets.spend(x.request.account, stepRetry) {
		return &ryeford.MayHaveRunError{Reason: ryeford.ReasonRetryBudget, RetryAfter: retry.Spread(x.history.retryAfter), Err: cause}
	}
	if len(x.candidates.queue) == 0 {
		return &ryeford.MayHaveRunError{Reason: ryeford.ReasonNoCandidate, RetryAfter: retry.Spread(x.history.retryAfter), Err: cause}
	}
	return x.dispatchQueue(ctx)
}

const (
	// rejoinTimeout is how long an agent is asked about an attempt whose stream was lost.
	rejoinTimeout = 5 * time.Second

	// rejoinInterval is the time between two such joins: short against a
	// caller's wait, long against a connection's round trip.
	rejoinInterval = 25 * time.Millisecond
)

// resolveOutcome finds out what became of an attempt whose stream was lost, by asking its
// agent until it answers. If the agent has been restarted, what it knew is lost, and the
// outcome is unknown. A repeatable request is not worth the wait: its outcome counts as
// unknown at once, and it goes to another engine.
func (x *exchange) resolveOutcome(ctx context.Context, cause error) error {
	unknown := &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, Err: cause}
	if x.request.repeatable || ctx.Err() != nil {
		return unknown
	}
	x.stream.close()
	x.history.rejoins++
	limit := x.request.deadlineWithin(rejoinTimeout)
	for time.Now().Before(limit) {
		reply, err := x.join(ctx, x.stream.candidate, false, limit)
		if err == nil {
			return x.handleReply(reply)
		}
		// The agent can't be asked yet; the first failure, cause, says more than this one.
		if a, ok := x.forwarder.fleet.agentByVM(x.stream.candidate.VM); ok && a.inventory.Incarnation != x.stream.candidate.Incarnation {
			unknown.Reason = ryeford.ReasonIncarnation
			return unknown
		}
		if !clock.Sleep(ctx, rejoinInterval) {
			return unknown
		}
	}
	return unknown
}

// join asks a candidate's agent for the attempt's answer, from the caller's next offset
// on, and leaves the stream open after a reply. Unless peek is set, an agent that has not
// admitted the attempt never will after it was asked.
func (x *exchange) join(ctx context.Context, c claim.Candidate, peek bool, limit time.Time) (*wire.Message, error) {
	a, ok := x.forwarder.fleet.agentByVM(c.VM)
	if !ok {
		return nil, &ryeford.NotFoundError{Kind: "VM", Name: string(c.VM)}
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	stream, err := a.conn.Open(ctx)
	if err != nil {
		return nil, err
	}
	stream.SetReadDeadline(limit)
	query := &wire.Join{
		Account:     x.request.account,
		Attempt:     x.attempt.ID,
		Incarnation: c.Incarnation,
		Offset:      x.delivered.next,
		Expires:     x.attempt.Expires,
		Forget:      x.attempt.RetainUntil,
		Peek:        peek,
	}
	var reply *wire.Message
	if err = stream.Send(&wire.Message{Join: query}); err == nil {
		reply, err = stream.Receive()
	}
	if err != nil {
		stream.Close()
		return nil, err
	}
	x.stream.candidate, x.stream.conn = c, stream
	return reply, nil
}
