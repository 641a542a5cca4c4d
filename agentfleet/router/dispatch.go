package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	// dispatchGrace is how long after a dispatch's expiry its reply is waited for: an
	// agent that admits in the last moment needs the way back. Not measured.
	dispatchGrace = 250 * time.Millisecond

	// maxWaitingDispatches is how many of a request's first dispatches may wait at a
	// full engine: the one to the chat's home, and the one to the engine that the home
	// points to. No other engine has the chat's prefix, for which the wait is made.
	// Without unit. Set by: commit 17576d5, whose runs tried the wait, not other numbers
	// (reuse of prefixes 0.70 to 0.73 without it, 0.84 to 0.87 with it).
	maxWaitingDispatches = 2
)

// dispatch sends the attempt to an engine's agent and waits until it is admitted or
// refused. What was not sent did not run; if the reply is lost, resolveLost finds out.
func (x *exchange) dispatch(ctx context.Context, c claim.Candidate) error {
	a, ok := x.forwarder.fleet.vm(c.VM)
	if !ok || a.inventory.Incarnation != c.Incarnation {
		return &ryeford.NotRunError{Reason: ryeford.ReasonUnreachable}
	}
	openCtx, cancel := context.WithDeadline(ctx, x.attempt.expires)
	defer cancel()
	stream, err := a.conn.Open(openCtx)
	if err != nil { // the connection is going: keepConnected logs why
		return &ryeford.NotRunError{Reason: ryeford.ReasonUnreachable}
	}
	x.stream.conn = stream
	stream.SetReadDeadline(x.attempt.expires.Add(dispatchGrace))
	if err := stream.Send(&wire.Message{Dispatch: x.dispatchMessage(c)}); err != nil {
		return x.resolveLost(ctx, err)
	}
	m, err := stream.Receive()
	if err != nil {
		x.forwarder.suspects.add(time.Now(), c.VM)
		return x.resolveLost(ctx, err)
	}
	x.forwarder.suspects.clear(c.VM)
	return x.handleReply(m)
}

// dispatchMessage returns the dispatch of the attempt.
func (x *exchange) dispatchMessage(c claim.Candidate) *wire.Dispatch {
	req := x.request
	d := &wire.Dispatch{
		Request:     req.id,
		Attempt:     x.attempt.id,
		Account:     req.account,
		Chat:        req.chat,
		Engine:      c.Engine,
		Incarnation: c.Incarnation,
		Priority:    req.priority,
		Share:       req.share,
		Repeatable:  req.repeatable,
		Expires:     x.attempt.expires,
		Forget:      x.attempt.forget,
		PoolMean:    x.poolMean(),
		Sent:        time.Now(),
		MayRedirect: mayRedirect(req, c.Engine == x.candidates.home, x.history.dispatches),
		Offset:      x.delivered.next,
	}
	if mayWait(x.history.rounds, x.history.dispatches) {
		d.Wait = x.forwarder.limits.WarmWait
	}
	if req.call != nil {
		call := *req.call
		call.Attempt = x.attempt.id
		d.Call = &call
		return d
	}
	completion := *req.completion
	completion.Attempt = x.attempt.id
	completion.Prefix = string(x.delivered.text)
	d.Completion = &completion
	return d
}

// mayRedirect reports whether an agent may name another engine instead of running the
// request: only the chat's home remembers where the chat went, only the first dispatch
// asks for it, and a claim names its candidates before it is dispatched.
func mayRedirect(req *request, home bool, dispatches int) bool {
	return home && dispatches == 1 && !req.claimed() && req.call == nil
}

// mayWait reports whether the dispatch of that number may wait at a full engine for
// limits.warm_wait: in the first round, at the engines that may have the chat's prefix.
func mayWait(rounds, dispatches int) bool {
	return rounds == 0 && dispatches <= maxWaitingDispatches
}

// handleReply takes the agent's reply to a dispatch or a join.
func (x *exchange) handleReply(m *wire.Message) error {
	switch {
	case m.Admitted != nil && m.Admitted.Attempt == x.attempt.id:
		x.addProbe(m.Admitted.Load)
		x.history.warm = m.Admitted.Warm
		x.beginAnswer(m.Admitted)
		return nil
	case m.Refused != nil && m.Refused.Attempt == x.attempt.id:
		return x.handleRefusal(m.Refused)
	}
	return &ryeford.MayHaveRunError{Reason: ryeford.ReasonUnreachable, Err: &ProtocolError{}}
}

// beginAnswer makes the stream ready for the answer of an admitted attempt, from the
// caller's next offset on. An attempt that another request began is answered under that
// one's id.
func (x *exchange) beginAnswer(admitted *wire.Admitted) {
	x.request.id = admitted.Request
	x.stream.asm = answer.NewAssembler(x.attempt.id, x.delivered.next)
}

// handleRefusal takes a refusal, and returns it as an error.
func (x *exchange) handleRefusal(refused *wire.Refused) error {
	if refused.Unknown {
		return &ryeford.MayHaveRunError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	switch refused.Reason {
	case ryeford.ReasonOverload, ryeford.ReasonShare:
		x.addProbe(refused.Load)
		if x.history.retryAfter == 0 || refused.RetryAfter < x.history.retryAfter {
			x.history.retryAfter = refused.RetryAfter
		}
	case ryeford.ReasonRedirect:
		target, ok := x.forwarder.fleet.candidate(refused.Engine)
		x.candidates.queue = redirected(x.candidates.queue, x.stream.candidate, refused.Engine, target, ok)
	}
	return &ryeford.NotRunError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
}
