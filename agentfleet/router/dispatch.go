package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// dispatch sends the attempt to an engine's agent and waits until it is
// admitted or refused.
func (x *exchange) dispatch(ctx context.Context, c claim.Candidate) error {
	p, ok := x.router.fleet.vm(c.VM)
	if !ok || p.inventory.Incarnation != c.Incarnation {
		return &ryeford.NotRunError{Reason: ryeford.ReasonUnreachable}
	}
	openCtx, cancel := context.WithDeadline(ctx, x.expires)
	defer cancel()
	stream, err := p.conn.Open(openCtx)
	if err != nil {
		return &ryeford.NotRunError{Reason: ryeford.ReasonUnreachable}
	}
	x.stream = stream
	stream.SetReadDeadline(x.expires.Add(dispatchGrace))
	if err := stream.Send(&wire.Message{Dispatch: x.dispatchMessage(c)}); err != nil {
		return x.resolveLost(ctx, err)
	}
	m, err := stream.Receive()
	if err != nil {
		x.router.suspects.add(time.Now(), c.VM)
		return x.resolveLost(ctx, err)
	}
	x.router.suspects.clear(c.VM)
	return x.handleReply(m)
}

// dispatchGrace is how long behind a dispatch's expiry its reply is waited for.
const dispatchGrace = 250 * time.Millisecond

// dispatchMessage returns the dispatch of the attempt.
func (x *exchange) dispatchMessage(c claim.Candidate) *wire.Dispatch {
	req := x.request
	d := &wire.Dispatch{
		Request:     req.id,
		Attempt:     x.attempt,
		Account:     req.account,
		Chat:        req.chat,
		Engine:      c.Engine,
		Incarnation: c.Incarnation,
		Priority:    req.priority,
		Share:       req.share,
		Repeatable:  req.repeatable,
		Expires:     x.expires,
		Forget:      x.forget,
		PoolMean:    x.poolMean(),
		MayRedirect: c.Engine == x.home && x.dispatches == 1 && !req.claimed() && req.call == nil,
		Offset:      x.next,
	}
	if x.rounds == 0 && x.dispatches <= maxWaitingDispatches {
		d.Wait = x.router.settings.Limits.WarmWait
	}
	if req.call != nil {
		call := *req.call
		call.Attempt = x.attempt
		d.Call = &call
		return d
	}
	completion := *req.completion
	completion.Attempt = x.attempt
	completion.Prefix = string(x.text)
	d.Completion = &completion
	return d
}

// maxWaitingDispatches is how many of the first tries may wait: the home, and the engine
// that it points to.
const maxWaitingDispatches = 2

// poolMean returns the mean load that an engine is to be measured against.
func (x *exchange) poolMean() float64 {
	return x.router.fleet.probedMean(time.Now(), x.request.model, &x.probes)
}

// handleReply takes the agent's reply to a dispatch or a join.
func (x *exchange) handleReply(m *wire.Message) error {
	switch {
	case m.Admitted != nil && m.Admitted.Attempt == x.attempt:
		x.addProbe(m.Admitted.Load)
		x.warm = m.Admitted.Warm
		x.request.id = m.Admitted.Request
		x.asm = answer.NewAssembler(x.attempt, x.next)
		return nil
	case m.Refused != nil && m.Refused.Attempt == x.attempt:
		return x.handleRefusal(m.Refused)
	}
	return &ryeford.UnknownError{Reason: ryeford.ReasonUnreachable, Err: &ProtocolError{}}
}

// handleRefusal takes a refusal.
func (x *exchange) handleRefusal(refused *wire.Refused) error {
	if refused.Unknown {
		return &ryeford.UnknownError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	switch refused.Reason {
	case ryeford.ReasonOverload, ryeford.ReasonShare:
		x.addProbe(refused.Load)
		if x.retryAfter == 0 || refused.RetryAfter < x.retryAfter {
			x.retryAfter = refused.RetryAfter
		}
	case ryeford.ReasonRedirect:
		x.redirect(refused.Engine)
	}
	return &ryeford.NotRunError{Reason: refused.Reason, RetryAfter: refused.RetryAfter, Engine: refused.Engine}
}

// redirect puts an engine first in the queue, and the home behind it.
func (x *exchange) redirect(engine ryeford.EngineID) {
	queue := make([]claim.Candidate, 0, len(x.queue)+2)
	if c, ok := x.router.candidate(engine); ok {
		queue = append(queue, c)
	}
	queue = append(queue, x.candidate)
	for _, c := range x.queue {
		if c.Engine != engine {
			queue = append(queue, c)
		}
	}
	x.queue = queue
}

// addProbe notes the load that a candidate reported.
func (x *exchange) addProbe(value float64) {
	x.router.fleet.addProbe(time.Now(), x.request.model, x.candidate.Engine, &x.probes, value)
}
