package router

import (
	"cmp"
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// A deliveryState is the part of an answer that was passed on to the caller.
type deliveryState struct {
	next int64  // offset of the next chunk
	text []byte // of a repeatable completion, to continue from
}

// awaitFirstChunk waits for the answer's first chunk. Until then, the request can still
// be dispatched to another engine after a failure. A failure reported by the engine
// itself, which has no reason, is part of the answer and passed on.
func (x *exchange) awaitFirstChunk(ctx context.Context) error {
	if err := x.receive(ctx, x.forwarder.limits.FirstToken); err != nil {
		return x.resolveOutcome(ctx, err)
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
// deadline. When ctx ends, it closes the stream.
func (x *exchange) receive(ctx context.Context, limit time.Duration) error {
	s := &x.stream
	s.conn.SetReadDeadline(x.request.deadlineWithin(limit))
	stop := context.AfterFunc(ctx, s.conn.Close)
	defer stop()
	for len(s.ready) == 0 {
		m, err := s.conn.Receive()
		if err != nil {
			return err
		}
		if m.Frame == nil || m.Frame.Request != x.request.id {
			x.forwarder.metrics.Count("ryeford_frames_dropped_total", "foreign")
			continue
		}
		s.ready = s.assembler.Add(m.Frame.Chunk())
	}
	return nil
}

// read returns the next chunk of the answer. After an error the answer stays
// incomplete.
func (x *exchange) read(ctx context.Context) (ryeford.Chunk, error) {
	for {
		var err error
		if len(x.stream.ready) == 0 {
			err = x.receive(ctx, x.forwarder.limits.BetweenTokens)
		}
		if err == nil {
			chunk := x.stream.ready[0]
			x.stream.ready = x.stream.ready[1:]
			if chunk.Finish != ryeford.FinishError || chunk.Reason == "" {
				x.deliver(&chunk)
				return chunk, nil
			}
			err = chunkError(&chunk)
		}
		if err := x.recover(ctx, err); err != nil {
			return ryeford.Chunk{}, err
		}
	}
}

// chunkError returns the failure that a chunk reports. Without a reason, it is the
// engine's failure.
func chunkError(chunk *ryeford.Chunk) *ryeford.MayHaveRunError {
	return &ryeford.MayHaveRunError{Reason: cmp.Or(chunk.Reason, ryeford.ReasonEngineError), Err: &EngineError{Text: chunk.Failure}}
}

// deliver records that a chunk is passed on to the caller. The last chunk adds to the
// account's budgets and notifies the chat's home of the engine that served it.
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

// An agentStream is the stream on which a candidate's agent sends its replies to an
// attempt and the answer. A later stream may continue the answer of an earlier one.
type agentStream struct {
	candidate claim.Candidate
	conn      *transport.Stream // nil unless one is open
	assembler *answer.Assembler // set when the agent admits the attempt
	ready     []ryeford.Chunk   // received and not yet passed on
}

// cancel notifies the agent that the caller disconnected. If sending fails, the
// connection is lost, and the agent cancels a repeatable run once its answer has had no
// reader for a while.
func (s *agentStream) cancel() {
	if s.conn == nil {
		return
	}
	_ = s.conn.Send(&wire.Message{Cancel: &wire.Cancel{}})
	s.conn.CloseSend()
}

// close closes the stream and drops chunks that were not passed on.
func (s *agentStream) close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
	s.ready = nil
}
