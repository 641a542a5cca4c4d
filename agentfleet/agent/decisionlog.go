package agent

import (
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// logAdmitted logs an admission.
func (a *Agent) logAdmitted(d *wire.Dispatch, decided *admission.Decision, warm bool) {
	a.metrics.Count("ryeford_admitted_total", "")
	a.decisions.Record(d.Request,
		"decision", "admit", "request", d.Request, "attempt", d.Attempt, "account", d.Account, "chat", d.Chat,
		"engine", d.Engine, "failure_domain", a.settings.FailureDomain,
		"load", decided.Load, "bound", decided.Bound, "mean", d.PoolMean, "held", decided.Held, "share", d.Share, "warm", warm)
}

// logRefused logs a refusal.
func (a *Agent) logRefused(d *wire.Dispatch, refused *wire.Refused) {
	a.metrics.Count("ryeford_refused_total", string(refused.Reason))
	a.decisions.Record(d.Request,
		"decision", "refuse", "request", d.Request, "attempt", d.Attempt, "account", d.Account, "chat", d.Chat,
		"engine", d.Engine, "failure_domain", a.settings.FailureDomain, "reason", refused.Reason,
		"load", refused.Load, "bound", refused.Bound, "mean", d.PoolMean, "share", d.Share, "redirect", refused.Engine)
}

// logDropped counts the chunks that were not part of an answer.
func (a *Agent) logDropped(r *run, dropped answer.Dropped) {
	if dropped == (answer.Dropped{}) {
		return
	}
	a.metrics.Add("ryeford_chunks_dropped_total", "foreign", dropped.Foreign)
	a.metrics.Add("ryeford_chunks_dropped_total", "repeated", dropped.Repeated)
	a.metrics.Add("ryeford_chunks_dropped_total", "overflow", dropped.Overflow)
	_ = a.log.Log("msg", "chunks dropped", "attempt", r.dispatch.Attempt, "engine", r.dispatch.Engine,
		"foreign", dropped.Foreign, "repeated", dropped.Repeated, "overflow", dropped.Overflow)
}
