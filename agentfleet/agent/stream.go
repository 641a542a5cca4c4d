package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/engine"
)

// A streamError says why a stream ended before the answer did.
type streamError struct {
	reason ryeford.Reason
	notRun bool // the attempt provably did not run
	err    error
}

// readAnswer reads one stream of an answer into the run's log. It returns nil
// once the answer is finished.
func (a *Agent) readAnswer(r *run, asm *answer.Assembler, open func(context.Context) (ryeford.ChunkReader, error)) *streamError {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	limits := &a.settings.Limits
	watchdog := time.AfterFunc(stallLimit(limits, asm.Next() > 0), func() { cancel(errStalled{}) })
	defer watchdog.Stop()
	reader, err := open(ctx)
	if err != nil {
		return newStreamError(ctx, err, asm.Next() == 0 && engine.NotRun(err))
	}
	defer func() { _ = reader.Close() }() // the answer is whole or failed already
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
			watchdog.Reset(stallLimit(limits, true))
		}
	}
	return nil
}

// An errStalled is the cause of a stream that was cancelled at its stallLimit.
type errStalled struct{}

// Error returns the text of the error.
func (errStalled) Error() string { return "stalled" }

// newStreamError returns the streamError of a failed open or read. A cancelled
// context is the cause of whatever error came of it.
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
