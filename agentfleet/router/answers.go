package router

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/eventstream"
)

// writeAnswer writes the answer of a started exchange in the format that the caller
// requested. From here on, the answerStream ends the exchange.
func writeAnswer(workCtx context.Context, ctx *fasthttp.RequestCtx, x *exchange) {
	header := &ctx.Response.Header
	header.Set(HeaderRequest, string(x.request.id))
	header.Set(HeaderEngine, string(x.stream.candidate.Engine))
	header.Set(HeaderTries, strconv.Itoa(x.history.dispatches))
	body := &answerStream{exchange: x, ctx: workCtx}
	switch {
	case x.request.call != nil:
		writeCallAnswer(ctx, body)
	case x.request.stream:
		ctx.SetContentType("text/event-stream")
		header.Set("Cache-Control", "no-store")
		header.Set("X-Accel-Buffering", "no")
		body.encode = body.encodeEvent
		body.encodeError = body.encodeErrorEvent
		ctx.SetBodyStream(body, -1)
	default:
		writeWholeAnswer(ctx, body)
	}
}

// writeCallAnswer relays a service's answer. If it is interrupted, the connection is
// closed, so that the caller can't mistake it for a complete one.
func writeCallAnswer(ctx *fasthttp.RequestCtx, body *answerStream) {
	first, err := body.readChunk()
	if err != nil {
		_ = body.Close()
		writeError(ctx, body.exchange.request.id, err)
		return
	}
	ctx.SetStatusCode(first.Status)
	ctx.SetContentType(first.ContentType)
	if first.Finish != "" {
		ctx.SetBody(first.Data)
		body.ended = true
		_ = body.Close()
		return
	}
	body.encode = func(chunk *ryeford.Chunk) { body.buf.Write(chunk.Data) }
	body.buf.Write(first.Data)
	ctx.SetBodyStream(body, -1)
}

// writeWholeAnswer collects a completion and writes it in one response, or the failure.
func writeWholeAnswer(ctx *fasthttp.RequestCtx, body *answerStream) {
	defer func() { _ = body.Close() }()
	x := body.exchange
	text, last, err := body.collect()
	body.ended = true
	if err != nil {
		body.logInterrupted(err)
		writeError(ctx, x.request.id, err)
		return
	}
	choice := answerChoice{Message: &ryeford.Message{Role: "assistant", Content: text}}
	if err := writeJSON(ctx, fasthttp.StatusOK, newAnswerBody(x, "chat.completion", choice, last)); err != nil {
		writeError(ctx, x.request.id, err)
	}
}

// collect reads a completion to its end. It returns the text and the last chunk.
func (s *answerStream) collect() (string, *ryeford.Chunk, error) {
	var text bytes.Buffer
	for {
		chunk, err := s.readChunk()
		if err != nil {
			return "", nil, err
		}
		text.Write(chunk.Data)
		if chunk.Finish != "" {
			return text.String(), &chunk, nil
		}
	}
}

// readChunk reads the next chunk. A chunk that reports a failure of the engine is returned
// with that failure as the error.
func (s *answerStream) readChunk() (ryeford.Chunk, error) {
	chunk, err := s.exchange.read(s.ctx)
	if err == nil && chunk.Finish == ryeford.FinishError {
		err = chunkError(&chunk)
	}
	return chunk, err
}

// An answerStream is the body of a streamed answer. The HTTP server reads it, and
// closes it after the end of the answer or when the caller has disconnected.
type answerStream struct {
	exchange *exchange
	ctx      context.Context
	encode   func(chunk *ryeford.Chunk)
	// encodeError writes a failure. If it is nil, a failure closes the connection.
	encodeError func(err error)

	buf   eventstream.Buffer
	ended bool
	once  sync.Once
}

// Read implements io.Reader. It blocks until the next chunk arrives.
func (s *answerStream) Read(p []byte) (int, error) {
	return s.buf.ReadOrFill(p, s.fill)
}

// Close implements io.Closer. It ends the exchange, and cancels a repeatable run if the
// caller disconnected before the end of the answer. It never fails.
func (s *answerStream) Close() error {
	s.once.Do(func() {
		x := s.exchange
		if !s.ended {
			x.forwarder.decisions.Record(x.request.id, "decision", "caller_gone", "request", x.request.id, "offset", x.delivered.next)
			x.stream.cancel()
		}
		x.end()
	})
	return nil
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

func (s *answerStream) logInterrupted(err error) {
	x, req := s.exchange, s.exchange.request
	x.forwarder.metrics.Count("ryeford_interrupted_total", string(reasonOf(err)))
	x.forwarder.decisions.Record(req.id, "decision", "interrupt", "request", req.id, "account", req.account, "chat", req.chat,
		"engine", x.stream.candidate.Engine, "offset", x.delivered.next, "reason", reasonOf(err), "err", err)
}

// encodeEvent writes a chunk as a server-sent event. After the last one of a complete
// answer it writes the end marker.
func (s *answerStream) encodeEvent(chunk *ryeford.Chunk) {
	if chunk.Finish == ryeford.FinishError {
		s.encodeErrorEvent(chunkError(chunk))
		return
	}
	x := s.exchange
	id := eventID{candidate: x.stream.candidate, attempt: chunk.Attempt, offset: chunk.Offset}
	choice := answerChoice{Delta: &answerDelta{Content: string(chunk.Data)}}
	body := newAnswerBody(x, "chat.completion.chunk", choice, chunk)
	s.writeEvent(eventstream.Event{ID: id.String(), Data: body})
	if chunk.Finish != "" {
		s.buf.WriteDone()
	}
}

// encodeErrorEvent writes a failure as a server-sent event, without an end marker.
func (s *answerStream) encodeErrorEvent(err error) {
	body, _ := newErrorBody(s.exchange.request.id, err)
	s.writeEvent(eventstream.Event{Name: "error", Data: &body})
}

// writeEvent writes one server-sent event. An event that can't be encoded is omitted
// and logged; since events consist of strings and numbers, this would be a bug.
func (s *answerStream) writeEvent(event eventstream.Event) {
	if err := s.buf.WriteEvent(event); err != nil {
		_ = s.exchange.forwarder.log.Log("msg", "cannot encode an event of an answer; omitting it from the stream", "request", s.exchange.request.id, "err", err)
	}
}

// An answerBody is the JSON of a whole completion, or of one event of a streamed one.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *ryeford.Usage `json:"usage,omitempty"`
}

// An answerChoice is the only choice of an answer. It has a Message in a whole answer
// and a Delta in a streamed one.
type answerChoice struct {
	Index        int                   `json:"index"`
	Message      *ryeford.Message      `json:"message,omitempty"`
	Delta        *answerDelta          `json:"delta,omitempty"`
	FinishReason *ryeford.FinishReason `json:"finish_reason"`
}

type answerDelta struct {
	Content string `json:"content,omitempty"`
}

// newAnswerBody returns an answer with one choice. If chunk is the last one, it
// includes the finish reason and the usage.
func newAnswerBody(x *exchange, object string, choice answerChoice, chunk *ryeford.Chunk) *answerBody {
	body := &answerBody{
		ID:      string(x.request.id),
		Object:  object,
		Created: time.Now().Unix(),
		Model:   x.request.model,
	}
	if chunk.Finish != "" {
		choice.FinishReason = &chunk.Finish
		body.Usage = &chunk.Usage
	}
	body.Choices = []answerChoice{choice}
	return body
}
