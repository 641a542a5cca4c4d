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

// A deliveryState is what the caller has received of an answer.
type deliveryState struct {
	next int64  // offset of the next chunk
	text []byte // of a repeatable completion, to go on from
}

// awaitFirstChunk waits for the answer's first chunk. Up to it, a failure can still lead to
// another engine. An engine's own error, which names no reason, is an answer: it is
// passed on.
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
// deadline. At the end of ctx it closes the stream.
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

// read returns the answer's next chunk. After an error the answer is not complete and
// will not be.
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

// An agentStream is the stream on which the agent of one candidate sends its replies to
// an attempt, and the answer. A later stream may go on with the answer of an earlier one.
type agentStream struct {
	candidate claim.Candidate
	conn      *transport.Stream // nil unless one is open
	assembler *answer.Assembler // set by the agent's admission
	ready     []ryeford.Chunk   // received and not yet passed on
}

// cancel sends the agent that the caller is gone. If that can't be sent, the
// connection is lost, and the agent stops the run itself once nobody has read its
// answer for a while.
func (s *agentStream) cancel() {
	if s.conn == nil {
		return
	}
	_ = s.conn.Send(&wire.Message{Cancel: &wire.Cancel{}})
	s.conn.CloseSend()
}

// close gives up the stream, and what was received and not passed on.
func (s *agentStream) close() {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
	s.ready = nil
}
