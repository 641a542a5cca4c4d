package router

import (
	"cmp"
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// A delivered is what the caller has received of an answer.
type delivered struct {
	next int64  // offset of the next chunk
	text []byte // of a repeatable completion, to go on from
}

// awaitFirst waits for the answer's first chunk. Up to it, a failure can still lead to
// another engine. An engine's own error, which names no reason, is an answer: it is
// passed on.
func (x *exchange) awaitFirst(ctx context.Context) error {
	if err := x.receive(ctx, x.forwarder.limits.FirstToken); err != nil {
		return x.resolveLost(ctx, err)
	}
	first := &x.stream.ready[0]
	switch {
	case first.Finish != ryeford.FinishError, !first.NotRun && first.Reason == "":
		return nil
	case first.NotRun:
		return &ryeford.NotRunError{Reason: first.Reason}
	}
	return chunkError(first)
}

// receive waits until there are chunks to pass on, for limit or until the request's
// deadline.
func (x *exchange) receive(ctx context.Context, limit time.Duration) error {
	return x.stream.receive(ctx, x.request.id, x.request.within(limit))
}

// read returns the answer's next chunk. After an error the answer is not complete and
// will not be.
func (x *exchange) read(ctx context.Context) (ryeford.Chunk, error) {
	for {
		if len(x.stream.ready) == 0 {
			if err := x.receive(ctx, x.forwarder.limits.BetweenTokens); err != nil {
				if err := x.recover(ctx, err); err != nil {
					return ryeford.Chunk{}, err
				}
				continue
			}
		}
		chunk := x.stream.next()
		if chunk.Finish == ryeford.FinishError && chunk.Reason != "" {
			if err := x.recover(ctx, chunkError(&chunk)); err != nil {
				return ryeford.Chunk{}, err
			}
			continue
		}
		x.deliver(&chunk)
		return chunk, nil
	}
}

// chunkError returns the failure that an agent reported in a chunk: its own if it names a
// reason, else the engine's.
func chunkError(chunk *ryeford.Chunk) *ryeford.MayHaveRunError {
	return &ryeford.MayHaveRunError{Reason: cmp.Or(chunk.Reason, ryeford.ReasonEngineError), Err: &EngineError{Text: chunk.Failure}}
}

// deliver takes note of a chunk that is passed on to the caller. The last one earns
// the account further retries, and the chat's home is sent the engine that served it.
func (x *exchange) deliver(chunk *ryeford.Chunk) {
	req := x.request
	x.delivered.next = chunk.Offset + 1
	if req.call == nil && req.repeatable {
		x.delivered.text = append(x.delivered.text, chunk.Data...)
	}
	if chunk.Finish == "" {
		return
	}
	x.stream.conn.CloseSend()
	x.forwarder.budgets.earn(req.account)
	home, engine := x.candidates.home, x.stream.candidate.Engine
	if home != "" && req.completion != nil && engine != home {
		x.forwarder.gossip.sendOverflow(home, engine, wire.ChatKey{Account: req.account, Chat: req.chat})
	}
}
