package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/claim"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// An agentStream is the stream on which the agent of one candidate sends its replies to
// an attempt, and the answer. A later stream may go on with the answer of an earlier one.
type agentStream struct {
	metrics *telemetry.Set

	candidate claim.Candidate
	conn      *transport.Stream // nil unless one is open
	asm       *answer.Assembler // set by the agent's admission
	ready     []ryeford.Chunk   // received and not yet passed on
}

// receive waits for chunks of a request's answer, until a deadline. At the end of ctx it
// closes the stream.
func (s *agentStream) receive(ctx context.Context, request ryeford.RequestID, deadline time.Time) error {
	s.conn.SetReadDeadline(deadline)
	stop := context.AfterFunc(ctx, s.conn.Close)
	defer stop()
	for len(s.ready) == 0 {
		m, err := s.conn.Receive()
		if err != nil {
			return err
		}
		if m.Frame == nil || m.Frame.Request != request {
			s.metrics.Count("ryeford_frames_dropped_total", "foreign")
			continue
		}
		s.ready = s.asm.Add(m.Frame.Chunk())
	}
	return nil
}

// next takes the next chunk, of which receive must have found one.
func (s *agentStream) next() ryeford.Chunk {
	chunk := s.ready[0]
	s.ready = s.ready[1:]
	return chunk
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
