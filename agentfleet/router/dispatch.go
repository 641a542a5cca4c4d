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
		return x.settle(ctx, err)
	}
	m, err := stream.Receive()
	if err != nil {
		x.router.suspects.add(time.Now(), c.VM)
		return x.settle(ctx, err)
	}
	x.router.suspects.clear(c.VM)
	return x.noteReply(m)
}

// dispatchGrace is how long behind a dispatch's expiry its reply is waited for.
const dispatchGrace = 250 * time.Millisecond

// dispatchMessage returns the dispatch of the attempt.
func (x *exchange) dispatchMessage(c claim.Candidate) *wire.Dispatch {
	t := x.turn
	d := &wire.Dispatch{
		Request:     t.request,
		Attempt:     x.attempt,
		Account:     t.account,
		Chat:        t.chat,
		Engine:      c.Engine,
		Incarnation: c.Incarnation,
		Priority:    t.priority,
		Share:       t.share,
		Repeatable:  t.repeatable,
		Expires:     x.expires,
		Forget:      x.forget,
		PoolMean:    x.poolMean(),
		MayRedirect: c.Engine == x.home && x.tried == 1 && !t.claimed() && t.call == nil,
		Offset:      x.next,
	}
	if x.rounds == 0 && x.tried <= maxWarmTries {
		d.Wait = x.router.settings.Limits.WarmWait
	}
	if t.call != nil {
		call := *t.call
		call.Attempt = x.attempt
		d.Call = &call
		return d
	}
	completion := *t.completion
	completion.Attempt = x.attempt
	completion.Prefix = string(x.text)
	d.Completion = &completion
	return d
}

// maxWarmTries is how many of the first tries may wait: the home, and the engine
// that it points to.
const maxWarmTries = 2

// poolMean returns the mean load that an engine is to be measured against.
func (x *exchange) poolMean() float64 {
	return x.router.fleet.walkMean(time.Now(), x.turn.model, &x.walk)
}

// noteReply takes the agent's reply to a dispatch or a join.
func (x *exchange) noteReply(m *wire.Message) error {
	switch {
	case m.Admitted != nil && m.Admitted.Attempt == x.attempt:
		x.addSample(m.Admitted.Load)
		x.warm = m.Admitted.Warm
		x.turn.request = m.Admitted.Request
		x.asm = answer.NewAssembler(x.attempt, x.next)
		return nil
	case m.Refused != nil && m.Refused.Attempt == x.attempt:
		return x.noteRefused(m.Refused)
	}
	return &ryeford.UnknownError{Reason: ryeford.ReasonUnreachable, Err: &ProtocolError{}}
}

// noteRefused takes a refusal.
func (x *exchange) noteRefused(refused *wire.Refused) error {
	if refused.Unknown {
		return &ryeford.UnknownError{Reason: refused.Reason, RetryAfter: refused.RetryAfter}
	}
	switch refused.Reason {
	case ryeford.ReasonOverload, ryeford.ReasonShare:
		x.addSample(refused.Load)
		if x.hint == 0 || refused.RetryAfter < x.hint {
			x.hint = refused.RetryAfter
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

// addSample notes the load that a candidate reported.
func (x *exchange) addSample(value float64) {
	x.router.fleet.addWalk(time.Now(), x.turn.model, x.candidate.Engine, &x.walk, value)
}
