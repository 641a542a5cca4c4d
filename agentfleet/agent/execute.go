package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
)

// cancelTimeout bounds the call that cancels a failed run at its engine. Not
// measured.
const cancelTimeout = 2 * time.Second

// execute runs an admitted attempt to its end: the answer is whole, or ends with a
// failure.
func (a *Agent) execute(r *run) {
	defer r.cancel()
	defer a.attempts.finished(r)
	defer func() { r.backend.release(time.Now(), r.dispatch.Account) }()
	if r.dispatch.Call != nil {
		a.executeCall(r)
		return
	}
	a.executeCompletion(r)
}

// executeCompletion runs a completion. An engine whose stream breaks or stalls is
// asked for the rest of the same run (mayResume) before the run is given up.
func (a *Agent) executeCompletion(r *run) {
	d := r.dispatch
	asm := answer.NewAssembler(d.Attempt, 0)
	for resumes := 0; ; resumes++ {
		failure := a.readAnswer(r, asm, func(ctx context.Context) (ryeford.ChunkReader, error) {
			if resumes > 0 {
				return r.backend.engine.Resume(ctx, d.Attempt, asm.Next())
			}
			return r.backend.engine.Complete(ctx, cacheKey(d.ChatKey()), d.Completion)
		})
		if failure == nil {
			a.logDropped(r, asm.Dropped())
			return
		}
		if resumes > 0 {
			failure.notRun = false // the engine had the request before
		}
		if !mayResume(failure, resumes, r.ctx.Err() != nil) {
			a.logDropped(r, asm.Dropped())
			a.fail(r, asm.Next(), failure)
			return
		}
	}
}

// executeCall runs a call of a plain service. It is sent once: a service has no
// way to read the rest of a response.
func (a *Agent) executeCall(r *run) {
	asm := answer.NewAssembler(r.dispatch.Attempt, 0)
	failure := a.readAnswer(r, asm, func(ctx context.Context) (ryeford.ChunkReader, error) {
		return r.backend.service.Call(ctx, r.dispatch.Call)
	})
	if failure != nil {
		a.fail(r, asm.Next(), failure)
	}
}

// fail ends a run's answer with a failure, and cancels it at its engine unless it
// did not start there.
func (a *Agent) fail(r *run, next int64, failure *streamError) {
	d := r.dispatch
	r.log.Append(ryeford.Chunk{
		Attempt: d.Attempt,
		Offset:  next + d.Offset,
		Finish:  ryeford.FinishError,
		Failure: failure.err.Error(),
		Reason:  failure.reason,
		NotRun:  failure.notRun,
	})
	a.metrics.Count("ryeford_failed_total", string(failure.reason))
	a.decisions.Record(d.Request,
		"decision", "fail", "request", d.Request, "attempt", d.Attempt, "account", d.Account, "chat", d.Chat,
		"engine", d.Engine, "reason", failure.reason, "not_run", failure.notRun, "offset", next+d.Offset, "err", failure.err)
	if r.backend.engine == nil || failure.notRun {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := r.backend.engine.Cancel(ctx, d.Attempt); err != nil {
		_ = a.log.Log("msg", "run not cancelled", "attempt", d.Attempt, "engine", d.Engine, "err", err)
	}
}
