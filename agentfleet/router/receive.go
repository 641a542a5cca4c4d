package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// awaitFirst waits for the answer's first chunk. Up to it, a failure can still lead to
// another engine. An engine's own error, which names no reason, is an answer: it is
// passed on.
func (x *exchange) awaitFirst(ctx context.Context) error {
	if err := x.receive(ctx, x.router.settings.Limits.FirstToken); err != nil {
		return x.resolveLost(ctx, err)
	}
	first := &x.ready[0]
	switch {
	case first.Finish != ryeford.FinishError, !first.NotRun && first.Reason == "":
		return nil
	case first.NotRun:
		return &ryeford.NotRunError{Reason: first.Reason}
	}
	return chunkError(first)
}

// receive waits until there are chunks to pass on, for limit or until the request's
// deadline. At the end of ctx it closes the stream.
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

// read returns the answer's next chunk. After an error the answer is not complete and
// will not be.
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
			if err := x.recover(ctx, chunkError(&chunk)); err != nil {
				return ryeford.Chunk{}, err
			}
			continue
		}
		x.delivered(&chunk)
		return chunk, nil
	}
}

// chunkError returns the failure that an agent reported in a chunk.
func chunkError(chunk *ryeford.Chunk) *ryeford.MayHaveRunError {
	return &ryeford.MayHaveRunError{Reason: chunk.Reason, Err: &EngineError{Text: chunk.Failure}}
}

// delivered takes note of a chunk that is passed on to the caller. The last one earns
// the account further retries, and the chat's home is sent the engine that served it.
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
