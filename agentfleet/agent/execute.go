package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/agentfleet/wire"
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
			return r.backend.engine.Complete(ctx, cacheKey(wire.ChatKey{Account: d.Account, Chat: d.Chat}), d.Completion)
		}
		failure = a.readAnswer(r, asm, open)
		if failure != nil && try > 0 {
			failure.notRun = false // the first try was sent
		}
		if failure == nil {
			a.noteDropped(r, asm.Dropped())
			return
		}
		if failure.notRun || r.ctx.Err() != nil {
			break
		}
	}
	a.noteDropped(r, asm.Dropped())
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

// A streamError says why a stream of an answer ended early.
type streamError struct {
	reason ryeford.Reason
	notRun bool
	err    error
}

// readAnswer reads one stream of an answer into the run's log. It returns nil
// once the answer is finished.
func (a *Agent) readAnswer(r *run, asm *answer.Assembler, open func(context.Context) (ryeford.ChunkReader, error)) *streamError {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	limit := a.settings.Limits.BetweenTokens
	if asm.Next() == 0 {
		limit = a.settings.Limits.FirstToken
	}
	watchdog := time.AfterFunc(limit, func() { cancel(errStalled{}) })
	defer watchdog.Stop()
	reader, err := open(ctx)
	if err != nil {
		return newStreamError(ctx, err, asm.Next() == 0 && engine.NotRun(err))
	}
	defer func() { _ = reader.Close() }()
	for !asm.Finished() {
		chunk, err := reader.Next()
		if err != nil {
			return newStreamError(ctx, err, false)
		}
		ready := asm.Add(chunk)
		for i := range ready {
			ready[i].Offset += r.dispatch.Offset
			r.log.Append(ready[i])
		}
		if len(ready) > 0 {
			watchdog.Reset(a.settings.Limits.BetweenTokens)
		}
	}
	return nil
}

// An errStalled is the cause of a stream that stopped to send.
type errStalled struct{}

// Error returns the text of the error.
func (errStalled) Error() string { return "stalled" }

// newStreamError returns the streamError of a failure.
func newStreamError(ctx context.Context, err error, notRun bool) *streamError {
	e := &streamError{reason: ryeford.ReasonEngineLost, notRun: notRun, err: err}
	switch {
	case errors.Is(context.Cause(ctx), errStalled{}):
		e.reason = ryeford.ReasonStalled
	case ctx.Err() != nil:
		e.reason = ryeford.ReasonCancelled
	case errors.Is(err, io.EOF):
		e.err = io.ErrUnexpectedEOF
	}
	return e
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

// noteDropped counts the chunks that were not part of an answer.
func (a *Agent) noteDropped(r *run, dropped answer.Dropped) {
	if dropped == (answer.Dropped{}) {
		return
	}
	a.metrics.Add("ryeford_chunks_dropped_total", "foreign", dropped.Foreign)
	a.metrics.Add("ryeford_chunks_dropped_total", "repeated", dropped.Repeated)
	a.metrics.Add("ryeford_chunks_dropped_total", "overflow", dropped.Overflow)
	_ = a.log.Log("msg", "chunks dropped", "attempt", r.dispatch.Attempt, "engine", r.dispatch.Engine,
		"foreign", dropped.Foreign, "repeated", dropped.Repeated, "overflow", dropped.Overflow)
}
