package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/answer"
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

// newRun returns a run that has not begun.
func newRun(d *wire.Dispatch, b *backend, warm bool) *run {
	ctx, cancel := context.WithCancel(context.Background())
	return &run{
		dispatch: d,
		backend:  b,
		log:      answer.NewLog(d.Offset),
		ctx:      ctx,
		cancel:   cancel,
		warm:     warm,
	}
}

// serveJoin sends the answer of an attempt that may have been admitted before,
// or says what is known of it.
func (a *Agent) serveJoin(ctx context.Context, stream *transport.Stream, j *wire.Join) {
	refused := &wire.Refused{Attempt: j.Attempt, Incarnation: a.incarnation}
	if j.Incarnation != a.incarnation {
		refused.Reason, refused.Unknown = ryeford.ReasonIncarnation, true
		a.answer(stream, &wire.Message{Refused: refused})
		return
	}
	r, known := a.attempts.settle(time.Now(), j)
	switch {
	case known == verdictRuns && r.dispatch.Account == j.Account:
		a.sendAnswer(ctx, stream, r, r.dispatch.Request, j.Offset)
		return
	case known == verdictNotRun:
		refused.Reason = ryeford.ReasonTombstone
	case known == verdictNotYet:
		refused.Reason, refused.Unknown = ryeford.ReasonRunning, true
	case known == verdictUnknown:
		refused.Reason, refused.Unknown = ryeford.ReasonExpired, true
	default:
		refused.Reason, refused.Unknown = ryeford.ReasonDuplicate, true
	}
	_ = a.decisions.Note("", "decision", "settle", "attempt", j.Attempt, "reason", refused.Reason, "unknown", refused.Unknown)
	a.answer(stream, &wire.Message{Refused: refused})
}

// sendAnswer sends a run's answer from an offset on.
func (a *Agent) sendAnswer(ctx context.Context, stream *transport.Stream, r *run, request ryeford.RequestID, offset int64) {
	r.attach()
	defer func() { r.detach(a.settings.Limits.Grace) }()
	admitted := &wire.Admitted{Attempt: r.dispatch.Attempt, Load: r.load, Warm: r.warm, Request: request}
	if stream.Send(&wire.Message{Admitted: admitted}) != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go a.receiveCancel(stream, r, cancel)
	for {
		chunks, err := r.log.Read(ctx, offset)
		if err != nil {
			return
		}
		for i := range chunks {
			if stream.Send(&wire.Message{Frame: wire.NewFrame(request, &chunks[i])}) != nil {
				return
			}
			offset++
			if chunks[i].Finish != "" {
				stream.CloseSend()
				return
			}
		}
	}
}

// receiveCancel waits for the router to cancel, or to go away.
func (a *Agent) receiveCancel(stream *transport.Stream, r *run, gone context.CancelFunc) {
	defer gone()
	m, err := stream.Receive()
	if err == nil && m.Cancel != nil && r.dispatch.Repeatable {
		r.cancel()
	}
}

// noteAdmitted logs an admission.
func (a *Agent) noteAdmitted(d *wire.Dispatch, decided *admission.Decision, warm bool) {
	a.metrics.Count("ryeford_admitted_total", "")
	_ = a.decisions.Note(d.Request,
		"decision", "admit", "request", d.Request, "attempt", d.Attempt, "account", d.Account, "chat", d.Chat,
		"engine", d.Engine, "failure_domain", a.settings.FailureDomain,
		"load", decided.Load, "bound", decided.Bound, "mean", d.PoolMean, "held", decided.Held, "share", d.Share, "warm", warm)
}

// noteRefused logs a refusal.
func (a *Agent) noteRefused(d *wire.Dispatch, refused *wire.Refused) {
	a.metrics.Count("ryeford_refused_total", string(refused.Reason))
	_ = a.decisions.Note(d.Request,
		"decision", "refuse", "request", d.Request, "attempt", d.Attempt, "account", d.Account, "chat", d.Chat,
		"engine", d.Engine, "failure_domain", a.settings.FailureDomain, "reason", refused.Reason,
		"load", refused.Load, "bound", refused.Bound, "mean", d.PoolMean, "share", d.Share, "redirect", refused.Engine)
}
