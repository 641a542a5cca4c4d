package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// serveDispatch admits or refuses an attempt and sends the answer or the refusal.
func (a *Agent) serveDispatch(ctx context.Context, router ryeford.VMID, stream *transport.Stream, d *wire.Dispatch) {
	d.Sent = a.offsets.sendTime(router, time.Now(), d.Sent)
	r, refused := a.admitOrWait(ctx, d)
	if refused != nil {
		a.logRefused(d, refused)
		stream.Reply(&wire.Message{Refused: refused})
		return
	}
	a.sendAnswer(ctx, stream, r, d.Request, d.Offset)
}

// admit decides on a dispatch without waiting. It returns the run or the refusal.
//
// A dispatch is refused for the first of these reasons that applies: it is meant for
// another incarnation of the agent; the VM is leaving; the engine does not belong to
// this VM; another engine holds the chat's prefix (overflows); the attempt must not be
// admitted (admissionRefusal); the engine has not loaded the model; the engine is
// backing off; the engine's bound or the account's share is reached (package
// admission).
func (a *Agent) admit(d *wire.Dispatch) (*run, *wire.Refused) {
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
		if holder, ok := b.holder(time.Now(), d); ok {
			refused := a.refusal(d, ryeford.ReasonRedirect)
			refused.Engine = holder
			refused.Load = b.load()
			return nil, refused
		}
	}
	return a.admitAttempt(b, d)
}

// admitAttempt admits an attempt to a backend and starts it. If the attempt was
// admitted before, a repeated dispatch of the same account joins the earlier run, and
// one of another account is refused.
func (a *Agent) admitAttempt(b *backend, d *wire.Dispatch) (*run, *wire.Refused) {
	var decision admission.Decision
	r, reason := a.attempts.admit(d, func(now time.Time) *run {
		var warm bool
		decision, warm = b.admit(now, d, a.meanLoad(now, b, d))
		if !decision.Admitted {
			return nil
		}
		r := newRun(d, b, warm)
		r.load = decision.Load
		return r
	})
	switch {
	case reason == ryeford.ReasonDuplicate && r != nil && r.dispatch.Account == d.Account:
		return r, nil
	case reason == ryeford.ReasonDuplicate:
		refused := a.refusal(d, reason)
		refused.MayHaveRun = true
		return nil, refused
	case reason != "":
		return nil, a.refusal(d, reason)
	case r == nil:
		refused := a.refusal(d, decision.Reason)
		refused.Load, refused.Bound = decision.Load, decision.Bound
		refused.RetryAfter = decision.RetryAfter
		return nil, refused
	}
	a.logAdmitted(d, &decision, r.warm)
	go a.execute(r)
	return r, nil
}

func (a *Agent) refusal(d *wire.Dispatch, reason ryeford.Reason) *wire.Refused {
	return &wire.Refused{
		Attempt:     d.Attempt,
		Reason:      reason,
		Incarnation: a.incarnation,
	}
}

// maxQueued is the maximum number of dispatches that wait for one engine.
const maxQueued = 8

// A queue holds the dispatches that wait for an engine's load to fall, ordered by
// priority, highest first, and then by arrival.
type queue struct {
	mu      sync.Mutex
	waiters []*waiter
}

// A waiter is one waiting dispatch.
type waiter struct {
	priority ryeford.Priority
	ready    chan struct{} // closed when the dispatch is to try again
}

// enter adds a waiter. It returns nil if the queue is full.
func (q *queue) enter(priority ryeford.Priority) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= maxQueued {
		return nil
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	q.waiters = append(q.waiters, w)
	slices.SortStableFunc(q.waiters, func(a, b *waiter) int { return cmp.Compare(b.priority, a.priority) })
	return w
}

func (q *queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters = slices.DeleteFunc(q.waiters, func(o *waiter) bool { return o == w })
}

// wake removes the first waiter and signals it to try again.
func (q *queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) > 0 {
		close(q.waiters[0].ready)
		q.waiters = q.waiters[1:]
	}
}

// admitOrWait decides on a dispatch. If only the engine's load prevents its admission
// and the engine holds the chat's prefix, the dispatch waits up to its Wait for a run
// to end, which is faster than a prefill on another engine.
func (a *Agent) admitOrWait(ctx context.Context, d *wire.Dispatch) (*run, *wire.Refused) {
	r, refused := a.admit(d)
	b, ok := a.backends[d.Engine]
	if refused == nil || !ok || d.Wait <= 0 || !b.isWarm(d) {
		return r, refused
	}
	return a.wait(ctx, b, d, refused)
}

// wait retries the admission whenever the queue signals it, until the dispatch is
// admitted, is refused for another reason than the load, or its Wait has elapsed.
func (a *Agent) wait(ctx context.Context, b *backend, d *wire.Dispatch, refused *wire.Refused) (*run, *wire.Refused) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.Wait)
	defer cancel()
	var r *run
	for refused != nil && refused.Reason == ryeford.ReasonOverload {
		w := b.queue.enter(d.Priority)
		if w == nil {
			break
		}
		// A run may have ended after the refusal and before the dispatch was queued.
		if r, refused = a.admit(d); refused == nil {
			b.queue.leave(w)
			break
		}
		select {
		case <-w.ready:
			r, refused = a.admit(d)
		case <-ctx.Done():
			b.queue.leave(w)
			return nil, refused
		}
	}
	a.metrics.Observe("ryeford_warm_wait_seconds", time.Since(start).Seconds())
	return r, refused
}

func (a *Agent) logAdmitted(d *wire.Dispatch, decision *admission.Decision, warm bool) {
	a.metrics.Count("ryeford_admitted_total", "")
	a.decisions.Record(d.Request,
		"decision", "admit", "request", d.Request, "attempt", d.Attempt, "account", d.Account, "chat", d.Chat,
		"engine", d.Engine, "failure_domain", a.settings.FailureDomain,
		"load", decision.Load, "bound", decision.Bound, "mean", d.PoolMean, "mean_age", time.Since(d.Sent), "held", decision.Held, "share", d.Share, "warm", warm)
}

func (a *Agent) logRefused(d *wire.Dispatch, refused *wire.Refused) {
	a.metrics.Count("ryeford_refused_total", string(refused.Reason))
	a.decisions.Record(d.Request,
		"decision", "refuse", "request", d.Request, "attempt", d.Attempt, "account", d.Account, "chat", d.Chat,
		"engine", d.Engine, "failure_domain", a.settings.FailureDomain, "reason", refused.Reason,
		"load", refused.Load, "bound", refused.Bound, "mean", d.PoolMean, "mean_age", time.Since(d.Sent), "share", d.Share, "redirect", refused.Engine)
}
