package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// serveDispatch admits or refuses an attempt and sends its answer.
func (a *Agent) serveDispatch(ctx context.Context, stream *transport.Stream, d *wire.Dispatch) {
	r, refused := a.admitOrWait(ctx, d)
	if refused != nil {
		a.logRefused(d, refused)
		stream.Reply(&wire.Message{Refused: refused})
		return
	}
	a.sendAnswer(ctx, stream, r, d.Request, d.Offset)
}

// admit decides on a dispatch at once. It returns the run, or why there is none.
//
// A dispatch is refused, by the first that applies, if it is meant for an earlier
// life of this process, the VM is leaving, the engine is not one of this VM's,
// another engine holds the chat's prefix (overflows), the attempt may not be
// admitted (mayAdmit), the engine has not loaded the model, or it is at its bound
// or the account's share (package admission).
func (a *Agent) admit(d *wire.Dispatch) (*run, *wire.Refused) {
	now := time.Now()
	b, ok := a.backends[d.Engine]
	switch {
	case d.Incarnation != a.incarnation:
		return nil, a.refusal(d, ryeford.ReasonIncarnation)
	case a.leaving.Load():
		return nil, a.refusal(d, ryeford.ReasonLeaving)
	case !ok:
		return nil, a.refusal(d, ryeford.ReasonNotServing)
	}
	if d.MayRedirect {
		if holder, ok := b.holder(now, d); ok {
			refused := a.refusal(d, ryeford.ReasonRedirect)
			refused.Engine = holder
			refused.Load = b.load()
			return nil, refused
		}
	}
	return a.admitAttempt(now, b, d)
}

// admitAttempt admits an attempt to a backend and starts it, unless it is refused
// or was admitted before. A repeated dispatch gets the earlier run, which its
// account may join.
func (a *Agent) admitAttempt(now time.Time, b *backend, d *wire.Dispatch) (*run, *wire.Refused) {
	var decided admission.Decision
	r, reason := a.attempts.admit(now, d, func() *run {
		var warm bool
		decided, warm = b.admit(now, d)
		if !decided.Admitted {
			return nil
		}
		r := newRun(d, b, warm)
		r.load = decided.Load
		return r
	})
	switch {
	case reason == ryeford.ReasonDuplicate && r != nil && r.dispatch.Account == d.Account:
		return r, nil
	case reason == ryeford.ReasonDuplicate:
		refused := a.refusal(d, reason)
		refused.Unknown = true
		return nil, refused
	case reason != "":
		return nil, a.refusal(d, reason)
	case r == nil:
		refused := a.refusal(d, decided.Reason)
		refused.Load, refused.Bound = decided.Load, decided.Bound
		refused.RetryAfter = decided.RetryAfter
		return nil, refused
	}
	a.logAdmitted(d, &decided, r.warm)
	go a.execute(r)
	return r, nil
}

// refusal returns a Refused for a reason.
func (a *Agent) refusal(d *wire.Dispatch, reason ryeford.Reason) *wire.Refused {
	return &wire.Refused{
		Attempt:     d.Attempt,
		Reason:      reason,
		Incarnation: a.incarnation,
	}
}
