package router

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/eventstream"
)

// An answerBody is the JSON of a whole answer.
type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *ryeford.Usage `json:"usage,omitempty"`
}

// An answerChoice is the one choice of an answer: Message of a whole one, Delta
// of a streamed one.
type answerChoice struct {
	Index        int              `json:"index"`
	Message      *ryeford.Message `json:"message,omitempty"`
	Delta        *answerDelta     `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type answerDelta struct {
	Content string `json:"content,omitempty"`
}

// writeAnswer writes the answer of a started exchange, in the form that the
// caller asked for.
func (r *Router) writeAnswer(work context.Context, cancel context.CancelFunc, ctx *fasthttp.RequestCtx, x *exchange) {
	header := &ctx.Response.Header
	header.Set(HeaderRequest, string(x.request.id))
	header.Set(HeaderEngine, string(x.candidate.Engine))
	header.Set(HeaderTries, strconv.Itoa(x.dispatches))
	body := &answerStream{router: r, exchange: x, ctx: work, cancel: cancel}
	switch {
	case x.request.call != nil:
		r.writeCallAnswer(ctx, body)
	case x.request.stream:
		ctx.SetContentType("text/event-stream")
		header.Set("Cache-Control", "no-store")
		header.Set("X-Accel-Buffering", "no")
		body.encode = body.encodeEvent
		body.encodeError = body.encodeErrorEvent
		ctx.SetBodyStream(body, -1)
	default:
		r.writeWholeAnswer(ctx, body)
	}
}

// writeCallAnswer passes a service's answer on. One that breaks off cuts the
// connection, so that it never looks complete.
func (r *Router) writeCallAnswer(ctx *fasthttp.RequestCtx, body *answerStream) {
	first, err := body.exchange.read(body.ctx)
	if err == nil && first.Finish == ryeford.FinishError {
		err = &ryeford.UnknownError{Reason: ryeford.ReasonEngineError, Err: &EngineError{Text: first.Failure}}
	}
	if err != nil {
		_ = body.Close()
		writeError(ctx, body.exchange.request.id, err)
		return
	}
	ctx.SetStatusCode(first.Status)
	ctx.SetContentType(first.ContentType)
	body.encode = body.encodeData
	body.buf.Write(first.Data)
	if first.Finish != "" {
		ctx.SetBody(body.buf.Bytes())
		body.ended = true
		_ = body.Close()
		return
	}
	ctx.SetBodyStream(body, -1)
}

// writeWholeAnswer collects the answer and writes it at once, or the failure.
func (r *Router) writeWholeAnswer(ctx *fasthttp.RequestCtx, body *answerStream) {
	x := body.exchange
	defer func() { _ = body.Close() }()
	var text bytes.Buffer
	for {
		chunk, err := x.read(body.ctx)
		if err == nil && chunk.Finish == ryeford.FinishError {
			err = &ryeford.UnknownError{Reason: ryeford.ReasonEngineError, Err: &EngineError{Text: chunk.Failure}}
		}
		if err != nil {
			body.ended = true
			body.logInterrupted(err)
			writeError(ctx, x.request.id, err)
			return
		}
		text.Write(chunk.Data)
		if chunk.Finish == "" {
			continue
		}
		body.ended = true
		finish := string(chunk.Finish)
		answer := newAnswerBody(x, "chat.completion")
		answer.Choices = []answerChoice{{Message: &ryeford.Message{Role: "assistant", Content: text.String()}, FinishReason: &finish}}
		answer.Usage = &chunk.Usage
		content, err := json.Marshal(answer)
		if err != nil {
			writeError(ctx, x.request.id, err)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(content)
		return
	}
}

// newAnswerBody returns an answer without choices.
func newAnswerBody(x *exchange, object string) *answerBody {
	return &answerBody{
		ID:      string(x.request.id),
		Object:  object,
		Created: time.Now().Unix(),
		Model:   x.request.model,
	}
}

// An answerStream is the body of a streamed answer. The HTTP server reads it,
// and closes it when the answer has ended or the caller is gone.
type answerStream struct {
	router   *Router
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelFunc
	encode   func(chunk *ryeford.Chunk)
	// encodeError writes a failure; where it is nil, a failure cuts the
	// connection.
	encodeError func(err error)

	buf   eventstream.Buffer
	ended bool
	once  sync.Once
}

// Read implements io.Reader. It waits for the next chunk.
func (s *answerStream) Read(p []byte) (int, error) {
	return s.buf.ReadOrFill(p, s.fill)
}

// Close implements io.Closer.
func (s *answerStream) Close() error {
	s.once.Do(func() {
		if !s.ended {
			_ = s.router.decisions.Note(s.exchange.request.id, "decision", "caller_gone",
				"request", s.exchange.request.id, "offset", s.exchange.next)
			s.exchange.cancel()
		}
		s.router.finish(s.exchange, s.cancel)
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

// logInterrupted logs an answer that broke off.
func (s *answerStream) logInterrupted(err error) {
	req := s.exchange.request
	s.router.metrics.Count("ryeford_interrupted_total", string(reasonOf(err)))
	_ = s.router.decisions.Note(req.id, "decision", "interrupt", "request", req.id, "account", req.account, "chat", req.chat,
		"engine", s.exchange.candidate.Engine, "offset", s.exchange.next, "reason", reasonOf(err), "err", err)
}

// encodeData passes the bytes of a chunk on.
func (s *answerStream) encodeData(chunk *ryeford.Chunk) {
	s.buf.Write(chunk.Data)
}

// encodeEvent writes a chunk as a server-sent event, and the end marker behind
// the last one of a complete answer.
func (s *answerStream) encodeEvent(chunk *ryeford.Chunk) {
	x := s.exchange
	id := eventID{candidate: x.candidate, attempt: chunk.Attempt, offset: chunk.Offset}
	if chunk.Finish == ryeford.FinishError {
		s.encodeErrorEvent(&ryeford.UnknownError{Reason: ryeford.ReasonEngineError, Err: &EngineError{Text: chunk.Failure}})
		return
	}
	body := newAnswerBody(x, "chat.completion.chunk")
	choice := answerChoice{Delta: &answerDelta{Content: string(chunk.Data)}}
	if chunk.Finish != "" {
		finish := string(chunk.Finish)
		choice.FinishReason = &finish
		body.Usage = &chunk.Usage
	}
	body.Choices = []answerChoice{choice}
	s.writeEvent(eventstream.Event{ID: id.String(), Data: body})
	if chunk.Finish != "" {
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
		_ = s.router.log.Log("msg", "event not encoded", "request", s.exchange.request.id, "err", err)
	}
}
