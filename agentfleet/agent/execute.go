package agent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/settings"
)

// cancelTimeout limits the call that cancels a failed run at its engine.
const cancelTimeout = 2 * time.Second

// execute runs an admitted attempt until its answer is complete or has failed. If the
// engine's stream breaks or stalls, execute requests the remainder of the same run
// (mayResume) before it fails the run.
func (a *Agent) execute(r *run) {
	defer r.cancel()
	defer a.attempts.scheduleDrop(r)
	defer func() { r.backend.release(time.Now(), r.dispatch.Account) }()
	asm := answer.NewAssembler(r.dispatch.Attempt, 0)
	failure := a.readAnswer(r, asm, false)
	for resumes := 0; failure != nil && mayResume(r.dispatch, failure, resumes, r.ctx.Err() != nil); resumes++ {
		failure = a.readAnswer(r, asm, true)
	}
	a.logDropped(r, asm.Dropped())
	if failure == nil {
		return
	}
	if duration := engine.RetryAfter(failure.err); duration > 0 {
		a.startBackoff(r.backend, duration)
	}
	a.fail(r, asm.Next(), failure)
}

// open opens the stream of a run's answer. With resume it opens the stream of the
// remainder that starts at offset.
func (r *run) open(ctx context.Context, resume bool, offset int64) (ryeford.ChunkReader, error) {
	d := r.dispatch
	switch {
	case d.Call != nil:
		return r.backend.service.Call(ctx, d.Call)
	case resume:
		return r.backend.engine.Resume(ctx, d.Attempt, offset)
	}
	return r.backend.engine.Complete(ctx, cacheKey(d.ChatKey()), d.Completion)
}

// logDropped logs and counts the chunks that the assembler dropped.
func (a *Agent) logDropped(r *run, dropped answer.DropCounts) {
	if dropped == (answer.DropCounts{}) {
		return
	}
	a.metrics.Add("ryeford_chunks_dropped_total", "foreign", dropped.Foreign)
	a.metrics.Add("ryeford_chunks_dropped_total", "repeated", dropped.Repeated)
	a.metrics.Add("ryeford_chunks_dropped_total", "overflow", dropped.Overflow)
	_ = a.log.Log("msg", "skipped chunks of the engine's stream that were of another attempt, repeated or too far ahead; none of them was added to the answer", "attempt", r.dispatch.Attempt, "engine", r.dispatch.Engine,
		"foreign", dropped.Foreign, "repeated", dropped.Repeated, "overflow", dropped.Overflow)
}

// fail ends the answer of a run with a failure, and cancels the run at its engine unless
// it did not start there.
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
		_ = a.log.Log("msg", "cannot cancel a failed run at its engine; it may run to its end there", "attempt", d.Attempt, "engine", d.Engine, "err", err)
	}
}

// A streamError reports why a stream ended before the answer was complete.
type streamError struct {
	reason ryeford.Reason
	notRun bool // the attempt provably did not run
	err    error
}

// readAnswer reads one stream of an answer into the run's log. It returns nil once the
// answer is complete. A failure to resume never proves that the attempt did not run,
// since the engine received the request before.
func (a *Agent) readAnswer(r *run, asm *answer.Assembler, resume bool) *streamError {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	limits := &a.settings.Limits
	watchdog := time.AfterFunc(stallTimeout(limits, asm.Next() > 0), func() { cancel(errStalled) })
	defer watchdog.Stop()
	reader, err := r.open(ctx, resume, asm.Next())
	if err != nil {
		return newStreamError(ctx, err, !resume && asm.Next() == 0 && engine.NotRun(err))
	}
	defer func() { _ = reader.Close() }() // the answer is complete or has failed already
	if duration := engine.ResponseRetryAfter(reader); duration > 0 {
		a.startBackoff(r.backend, duration)
	}
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
			watchdog.Reset(stallTimeout(limits, true))
		}
	}
	return nil
}

// errStalled is the cancellation cause of a stream that reached its stallTimeout.
var errStalled = errors.New("stalled")

// newStreamError returns the streamError for a failed open or read. If ctx was cancelled,
// the reason depends on its cause, not on err.
func newStreamError(ctx context.Context, err error, notRun bool) *streamError {
	e := &streamError{reason: ryeford.ReasonEngineLost, notRun: notRun, err: err}
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		e.reason = ryeford.ReasonStalled
	case ctx.Err() != nil:
		e.reason = ryeford.ReasonCancelled
	case errors.Is(err, io.EOF):
		e.err = io.ErrUnexpectedEOF
	}
	return e
}

// maxResumes is the maximum number of times that the remainder of a run is requested
// from its engine after a stream broke or stalled.
const maxResumes = 2

// stallTimeout returns how long an engine may send no new chunk before its stream is
// cancelled. started reports whether a part of the answer has been received. Until then
// the engine may be processing the prompt, which takes longer than a token.
//
// The gateway's timeout for the first byte is a different rule: there the request is sent
// to another endpoint. Here the remainder is requested from the same engine.
func stallTimeout(limits *settings.AgentLimits, started bool) time.Duration {
	if started {
		return limits.BetweenTokens
	}
	return limits.FirstToken
}

// mayResume reports whether the remainder of a run whose stream ended early is requested
// from the same engine. This is not done if the run did not start, was cancelled, or was
// resumed maxResumes times. A resume never runs a request twice, so it is also allowed
// for requests that are not repeatable. Plain services don't support it.
func mayResume(d *wire.Dispatch, failure *streamError, resumes int, cancelled bool) bool {
	return d.Call == nil && !failure.notRun && !cancelled && resumes < maxResumes
}

// A run is an attempt that this agent admitted. Any number of streams may read its
// answer.
//
// The run of a request that is not repeatable continues to its end even without
// readers. The run of a repeatable request is cancelled when the caller abandons the
// request, or when the run has had no reader for the grace period, in which a router
// may join it again.
type run struct {
	dispatch *wire.Dispatch
	backend  *backend
	log      *answer.Log
	ctx      context.Context
	cancel   context.CancelFunc
	warm     bool
	load     float64 // of the engine, before the run was admitted

	mu      sync.Mutex
	readers int
	grace   *time.Timer // cancels the run at the end of the grace period
}

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

// attach adds a reader and ends the grace period.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.grace != nil {
		r.grace.Stop()
		r.grace = nil
	}
}

// detach removes a reader. If it was the last one of a repeatable run, the grace period
// starts.
func (r *run) detach(grace time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers > 0 || !r.dispatch.Repeatable {
		return
	}
	r.grace = time.AfterFunc(grace, r.cancel)
}

func (r *run) cancelIfRepeatable() {
	if r.dispatch.Repeatable {
		r.cancel()
	}
}
