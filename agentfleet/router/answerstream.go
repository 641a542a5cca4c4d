package router

import (
	"context"
	"io"
	"sync"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/eventstream"
)

// An answerStream is the body of a streamed answer. The HTTP server reads it,
// and closes it when the answer has ended or the caller is gone.
type answerStream struct {
	callers  *callerHandler
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelFunc
	encode   func(chunk *ryeford.Chunk)
	// encodeError writes a failure. If it is nil, a failure cuts the connection.
	encodeError func(err error)

	buf   eventstream.Buffer
	ended bool
	once  sync.Once
}

// Read implements io.Reader. It waits for the next chunk.
func (s *answerStream) Read(p []byte) (int, error) {
	return s.buf.ReadOrFill(p, s.fill)
}

// Close implements io.Closer. It never fails.
func (s *answerStream) Close() error {
	s.close()
	return nil
}

// close ends the exchange, and its run if the caller left before the answer's end.
func (s *answerStream) close() {
	s.once.Do(func() {
		x := s.exchange
		if !s.ended {
			x.forwarder.decisions.Record(x.request.id, "decision", "caller_gone", "request", x.request.id, "offset", x.delivered.next)
			x.stream.cancel()
		}
		s.callers.finish(x, s.cancel)
	})
}

// fill encodes the next chunk. It returns io.EOF after the last one.
func (s *answerStream) fill() error {
	if s.ended {
		return io.EOF
	}
	chunk, err := s.exchange.read(s.ctx)
	if err == nil {
		s.ended = chunk.Finish != ""
		s.encode(&chunk)
		return nil
	}
	s.ended = true
	s.logInterrupted(err)
	if s.encodeError == nil {
		return err
	}
	s.encodeError(err)
	return nil
}

// logInterrupted logs an answer that broke off.
func (s *answerStream) logInterrupted(err error) {
	x, req := s.exchange, s.exchange.request
	x.forwarder.metrics.Count("ryeford_interrupted_total", string(reasonOf(err)))
	x.forwarder.decisions.Record(req.id, "decision", "interrupt", "request", req.id, "account", req.account, "chat", req.chat,
		"engine", x.stream.candidate.Engine, "offset", x.delivered.next, "reason", reasonOf(err), "err", err)
}

// encodeData passes the bytes of a chunk on.
func (s *answerStream) encodeData(chunk *ryeford.Chunk) {
	s.buf.Write(chunk.Data)
}

// encodeEvent writes a chunk as a server-sent event, and the end marker after the last
// one of a complete answer.
func (s *answerStream) encodeEvent(chunk *ryeford.Chunk) {
	if chunk.Finish == ryeford.FinishError {
		s.encodeErrorEvent(chunkError(chunk))
		return
	}
	x := s.exchange
	id := eventID{candidate: x.stream.candidate, attempt: chunk.Attempt, offset: chunk.Offset}
	choice := answerChoice{Delta: &answerDelta{Content: string(chunk.Data)}}
	var last *ryeford.Chunk
	if chunk.Finish != "" {
		last = chunk
	}
	s.writeEvent(eventstream.Event{ID: id.String(), Data: newAnswerBody(x, "chat.completion.chunk", choice, last)})
	if last != nil {
		s.buf.WriteDone()
	}
}

// encodeErrorEvent writes a failure as a server-sent event. No end marker
// follows it.
func (s *answerStream) encodeErrorEvent(err error) {
	body, _ := newErrorBody(s.exchange.request.id, err)
	s.writeEvent(eventstream.Event{Name: "error", Data: &body})
}

// writeEvent writes one server-sent event. One that can't be encoded is left out: its
// parts are strings and numbers of ours, so that it would be a fault of this program.
func (s *answerStream) writeEvent(event eventstream.Event) {
	if err := s.buf.WriteEvent(event); err != nil {
		_ = s.exchange.forwarder.log.Log("msg", "event not encoded", "request", s.exchange.request.id, "err", err)
	}
}
