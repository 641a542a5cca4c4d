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
		return x.resolveLost(ctx, err)
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
	if x.request.deadline.Before(timeout) {
		timeout = x.request.deadline
	}
	x.stream.SetReadDeadline(timeout)
	stop := context.AfterFunc(ctx, x.stream.Close)
	defer stop()
	for len(x.ready) == 0 {
		m, err := x.stream.Receive()
		if err != nil {
			return err
		}
		if m.Frame == nil || m.Frame.Request != x.request.id {
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
		x.delivered(&chunk)
		return chunk, nil
	}
}

// delivered notes what the caller gets.
func (x *exchange) delivered(chunk *ryeford.Chunk) {
	x.next = chunk.Offset + 1
	if x.request.call == nil && x.request.repeatable {
		x.text = append(x.text, chunk.Data...)
	}
	if chunk.Finish == "" {
		return
	}
	x.stream.CloseSend()
	x.router.overflow.Earn(x.request.account)
	x.router.retries.Earn(x.request.account)
	if x.home != "" && x.request.completion != nil && x.candidate.Engine != x.home {
		chat := wire.ChatKey{Account: x.request.account, Chat: x.request.chat}
		x.router.sendOverflow(x.home, x.candidate.Engine, chat)
	}
}

// recover goes on with an answer whose stream was lost: at the same agent,
// which keeps the answer, or for a repeatable completion at another engine,
// behind the text that the caller already has.
func (x *exchange) recover(ctx context.Context, cause error) error {
	var unknown *ryeford.UnknownError
	lostLink := !errors.As(cause, &unknown)
	if ctx.Err() != nil || time.Now().After(x.request.deadline) {
		return &ryeford.UnknownError{Reason: ryeford.ReasonDeadline, Err: cause}
	}
	if lostLink && x.rejoins < maxRejoins && !x.request.repeatable {
		return x.rejoin(ctx, cause)
	}
	if !x.request.repeatable || x.request.call != nil {
		return &ryeford.UnknownError{Reason: ryeford.ReasonEngineLost, Err: cause}
	}
	x.router.metrics.Count("ryeford_continued_total", "")
	x.mayHaveRun = true
	x.refill()
	return x.continueElsewhere(ctx, cause)
}

// rejoin goes on with the answer that the agent keeps.
func (x *exchange) rejoin(ctx context.Context, cause error) error {
	err := x.resolveLost(ctx, cause)
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
	for _, c := range x.router.newExchange(x.request).queue {
		if c.Engine != lost {
			x.queue = append(x.queue, c)
		}
	}
}

// continueElsewhere goes on at another engine.
func (x *exchange) continueElsewhere(ctx context.Context, cause error) error {
	if !x.router.retries.Spend(x.request.account) {
		return &ryeford.UnknownError{Reason: ryeford.ReasonRetryBudget, RetryAfter: retry.Spread(x.retryAfter), Err: cause}
	}
	if len(x.queue) == 0 {
		return &ryeford.UnknownError{Reason: ryeford.ReasonNoCandidate, RetryAfter: retry.Spread(x.retryAfter), Err: cause}
	}
	return x.dispatchQueue(ctx)
}
