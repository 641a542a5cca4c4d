package router

import (
	"context"
	"errors"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/retry"
)

// awaitFirst waits for the answer's first chunk. Up to it, a failure can still
// lead to another engine.
func (x *exchange) awaitFirst(ctx context.Context) error {
	if err := x.receive(ctx, x.router.settings.Limits.FirstToken); err != nil {
		return x.settle(ctx, err)
	}
	first := &x.ready[0]
	switch {
	case first.Finish != ryeford.FinishError:
		return nil
	case first.NotRun:
		return &ryeford.NotRunError{Reason: first.Reason}
	case first.Reason == "":
		return nil // the engine's own error, which is passed on
	}
	return &ryeford.UnknownError{Reason: first.Reason, Err: &EngineError{Text: first.Failure}}
}

// receive waits until there are chunks to pass on.
func (x *exchange) receive(ctx context.Context, limit time.Duration) error {
	timeout := time.Now().Add(limit)
	if x.turn.deadline.Before(timeout) {
		timeout = x.turn.deadline
	}
	x.stream.SetReadDeadline(timeout)
	stop := context.AfterFunc(ctx, x.stream.Close)
	defer stop()
	for len(x.ready) == 0 {
		m, err := x.stream.Receive()
		if err != nil {
			return err
		}
		if m.Frame == nil || m.Frame.Request != x.turn.request {
			x.router.metrics.Count("ryeford_frames_dropped_total", "foreign")
			continue
		}
		x.ready = x.asm.Add(m.Frame.Chunk())
	}
	return nil
}

// read returns the answer's next chunk. After an error the answer is not
// complete and will not be.
func (x *exchange) read(ctx context.Context) (ryeford.Chunk, error) {
	for {
		if len(x.ready) == 0 {
			if err := x.receive(ctx, x.router.settings.Limits.BetweenTokens); err != nil {
				if err := x.recover(ctx, err); err != nil {
					return ryeford.Chunk{}, err
				}
				continue
			}
		}
		chunk := x.ready[0]
		x.ready = x.ready[1:]
		if chunk.Finish == ryeford.FinishError && chunk.Reason != "" {
			cause := &ryeford.UnknownError{Reason: chunk.Reason, Err: &EngineError{Text: chunk.Failure}}
			if err := x.recover(ctx, cause); err != nil {
				return ryeford.Chunk{}, err
			}
			continue
		}
		x.notePassed(&chunk)
		return chunk, nil
	}
}

// notePassed notes what the caller gets.
func (x *exchange) notePassed(chunk *ryeford.Chunk) {
	x.next = chunk.Offset + 1
	if x.turn.call == nil && x.turn.repeatable {
		x.text = append(x.text, chunk.Data...)
	}
	if chunk.Finish == "" {
		return
	}
	x.stream.CloseSend()
	x.router.overflow.Earn(x.turn.account)
	x.router.retries.Earn(x.turn.account)
	if x.home != "" && x.turn.completion != nil && x.candidate.Engine != x.home {
		chat := wire.ChatKey{Account: x.turn.account, Chat: x.turn.chat}
		x.router.sendOverflow(x.home, x.candidate.Engine, chat)
	}
}

// recover goes on with an answer whose stream was lost: at the same agent,
// which keeps the answer, or for a repeatable completion at another engine,
// behind the text that the caller already has.
func (x *exchange) recover(ctx context.Context, cause error) error {
	var unknown *ryeford.UnknownError
	lostLink := !errors.As(cause, &unknown)
	if ctx.Err() != nil || time.Now().After(x.turn.deadline) {
		return &ryeford.UnknownError{Reason: ryeford.ReasonDeadline, Err: cause}
	}
	if lostLink && x.joins < reattachTries && !x.turn.repeatable {
		return x.reattach(ctx, cause)
	}
	if !x.turn.repeatable || x.turn.call != nil {
		return &ryeford.UnknownError{Reason: ryeford.ReasonEngineLost, Err: cause}
	}
	x.router.metrics.Count("ryeford_continued_total", "")
	x.maybeRan = true
	x.refill()
	return x.continueElsewhere(ctx, cause)
}

// reattach goes on with the answer that the agent keeps.
func (x *exchange) reattach(ctx context.Context, cause error) error {
	err := x.settle(ctx, cause)
	var notRun *ryeford.NotRunError
	if errors.As(err, &notRun) {
		return &ryeford.UnknownError{Reason: notRun.Reason, Err: cause}
	}
	return err
}

// refill fills the queue anew, without the engine that was lost.
func (x *exchange) refill() {
	lost := x.candidate.Engine
	x.queue = nil
	for _, c := range x.router.newExchange(x.turn).queue {
		if c.Engine != lost {
			x.queue = append(x.queue, c)
		}
	}
}

// continueElsewhere goes on at another engine.
func (x *exchange) continueElsewhere(ctx context.Context, cause error) error {
	if !x.router.retries.Spend(x.turn.account) {
		return &ryeford.UnknownError{Reason: ryeford.ReasonRetryBudget, RetryAfter: retry.Spread(x.hint), Err: cause}
	}
	if len(x.queue) == 0 {
		return &ryeford.UnknownError{Reason: ryeford.ReasonNoCandidate, RetryAfter: retry.Spread(x.hint), Err: cause}
	}
	return x.tryQueue(ctx)
}
