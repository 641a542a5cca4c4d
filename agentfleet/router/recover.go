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

// What follows an answer that was interrupted.
//
// If only the connection was lost, the agent still has the answer. The router then
// rejoins an answer that must not run twice, up to maxRejoins times. A repeatable
// completion instead continues on another engine, which gets the text that the caller
// already has. In all other cases the outcome is unknown.

// maxRejoins is how often an answer is rejoined at the same agent after its connection
// was lost.
const maxRejoins = 3

// A lostStream describes an answer that was interrupted.
type lostStream struct {
	expired    bool // the caller disconnected, or its deadline has passed
	reported   bool // the agent reported the loss itself, so it has no more of the answer
	repeatable bool
	call       bool // a call of a plain service, whose answer has no text to continue from
	rejoins    int  // so far
}

// A recovery is what follows a lost stream.
type recovery int

const (
	recoverNone        recovery = iota // the outcome stays unknown
	recoverExpired                     // the outcome stays unknown, since no time is left
	recoverRejoin                      // rejoin the answer at the same agent
	recoverOtherEngine                 // continue on another engine, charged to the retry budget
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

// recover continues an answer whose stream was lost, as recoveryFor decides.
func (x *exchange) recover(ctx context.Context, cause error) error {
	lost := lostStream{
		expired:    ctx.Err() != nil || time.Now().After(x.request.deadline),
		reported:   mayHaveRun(cause), // chunkError returns this type; connection errors have others
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

// rejoin continues at the agent that has the answer. A refusal there does not prove
// that the attempt did not run, since part of the answer was sent.
func (x *exchange) rejoin(ctx context.Context, cause error) error {
	err := x.resolveOutcome(ctx, cause)
	if notRun, ok := errors.AsType[*ryeford.NotRunError](err); ok {
		return &ryeford.MayHaveRunError{Reason: notRun.Reason, Err: cause}
	}
	return err
}

// continueOnOtherEngine continues on an engine other than the lost one.
func (x *exchange) continueOnOtherEngine(ctx context.Context, cause error) error {
	x.forwarder.metrics.Count("ryeford_continued_total", "")
	x.history.mayHaveRun = true
	ranked := x.forwarder.suspects.deprioritize(time.Now(), x.forwarder.rank(x.request))
	lost := x.stream.candidate.Engine
	x.candidates.queue = slices.DeleteFunc(ranked, func(c claim.Candidate) bool { return c.Engine == lost })
	if !x.forwarder.budgets.spend(x.request.account, stepRetry) {
		return &ryeford.MayHaveRunError{Reason: ryeford.ReasonRetryBudget, RetryAfter: retry.Jitter(x.history.retryAfter), Err: cause}
	}
	if len(x.candidates.queue) == 0 {
		return &ryeford.MayHaveRunError{Reason: ryeford.ReasonNoCandidate, RetryAfter: retry.Jitter(x.history.retryAfter), Err: cause}
	}
	return x.dispatchQueue(ctx)
}

const (
	// rejoinTimeout limits how long an agent is asked about an attempt whose stream was
	// lost.
	rejoinTimeout = 5 * time.Second

	// rejoinInterval is the interval between two such requests. It is short compared with a caller's
	// wait, and long compared with a round trip.
	rejoinInterval = 25 * time.Millisecond
)

// resolveOutcome queries the agent of an attempt whose stream was lost for its outcome,
// until the agent replies. If the agent has restarted, its state is lost and the
// outcome is unknown. A repeatable request does not wait: its outcome counts as unknown
// immediately, and it goes to another engine.
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
		// The agent can't be reached yet. cause, the first failure, is the more useful
		// error.
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

// join asks a candidate's agent for the attempt's answer, starting at the caller's next
// offset. It leaves the stream open after a reply. Unless peek is set, an agent that
// has not admitted the attempt will refuse it from then on.
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
		RetainUntil: x.attempt.RetainUntil,
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
