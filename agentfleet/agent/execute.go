package agent

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
)

const (
	resumeTries   = 2
	cancelTimeout = 2 * time.Second
)

// execute runs an admitted attempt to its end.
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

// executeCompletion runs a completion. An engine whose stream breaks, or
// stalls, is asked for the rest of the same run before it is given up.
func (a *Agent) executeCompletion(r *run) {
	d := r.dispatch
	asm := answer.NewAssembler(d.Attempt, 0)
	var failure *streamError
	for try := range resumeTries + 1 {
		open := func(ctx context.Context) (ryeford.ChunkReader, error) {
			if try > 0 {
				return r.backend.engine.Resume(ctx, d.Attempt, asm.Next())
			}
			return r.backend.engine.Complete(ctx, cacheKey(d.ChatKey()), d.Completion)
		}
		failure = a.readAnswer(r, asm, open)
		if failure != nil && try > 0 {
			failure.notRun = false // the first try was sent
		}
		if failure == nil {
			a.logDropped(r, asm.Dropped())
			return
		}
		if failure.notRun || r.ctx.Err() != nil {
			break
		}
	}
	a.logDropped(r, asm.Dropped())
	a.fail(r, asm.Next(), failure)
}

// executeCall runs a call of a plain service. It is sent once.
func (a *Agent) executeCall(r *run) {
	asm := answer.NewAssembler(r.dispatch.Attempt, 0)
	failure := a.readAnswer(r, asm, func(ctx context.Context) (ryeford.ChunkReader, error) {
		return r.backend.service.Call(ctx, r.dispatch.Call)
	})
	if failure != nil {
		a.fail(r, asm.Next(), failure)
	}
}

// fail ends a run's answer with a failure and cancels it at its engine.
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
	_ = a.decisions.Note(d.Request,
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
