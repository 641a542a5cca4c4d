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
		a.noteRefused(d, refused)
		a.answer(stream, &wire.Message{Refused: refused})
		return
	}
	a.sendAnswer(ctx, stream, r, d.Request, d.Offset)
}

// admit decides on a dispatch. It returns the run, or why there is none.
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
		if to, ok := b.redirect(now, d); ok {
			refused := a.refusal(d, ryeford.ReasonRedirect)
			refused.Engine = to
			refused.Load = b.load()
			return nil, refused
		}
	}
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
	a.noteAdmitted(d, &decided, r.warm)
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

// admitOrWait decides on a dispatch. One that is refused for the load alone, by
// the engine that holds its chat's prefix, may wait a little for a run to end:
// that is shorter than to build the prefix anew elsewhere.
func (a *Agent) admitOrWait(ctx context.Context, d *wire.Dispatch) (*run, *wire.Refused) {
	r, refused := a.admit(d)
	b, ok := a.backends[d.Engine]
	if refused == nil || !ok || d.Wait <= 0 || !b.isWarm(d) {
		return r, refused
	}
	began := time.Now()
	limit := time.NewTimer(d.Wait)
	defer limit.Stop()
	for refused != nil && refused.Reason == ryeford.ReasonOverload {
		w := b.waiting.enter(d.Priority)
		if w == nil {
			break
		}
		// A run may have ended between the refusal and the entry.
		if r, refused = a.admit(d); refused == nil {
			b.waiting.leave(w)
			break
		}
		select {
		case <-w.ready:
			r, refused = a.admit(d)
		case <-limit.C:
			b.waiting.leave(w)
			return nil, refused
		case <-ctx.Done():
			b.waiting.leave(w)
			return nil, refused
		}
	}
	a.metrics.Observe("ryeford_warm_wait_seconds", time.Since(began).Seconds())
	return r, refused
}
