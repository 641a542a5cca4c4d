package router

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
)

// writeAnswer writes the answer of a started exchange, in the form that the caller
// asked for. From here on the answerStream ends the exchange.
func (h *callerHandler) writeAnswer(work context.Context, cancel context.CancelFunc, ctx *fasthttp.RequestCtx, x *exchange) {
	header := &ctx.Response.Header
	header.Set(HeaderRequest, string(x.request.id))
	header.Set(HeaderEngine, string(x.stream.candidate.Engine))
	header.Set(HeaderTries, strconv.Itoa(x.history.dispatches))
	body := &answerStream{callers: h, exchange: x, ctx: work, cancel: cancel}
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

// writeCallAnswer passes a service's answer on. One that breaks off cuts the
// connection, so that it never looks complete.
func writeCallAnswer(ctx *fasthttp.RequestCtx, body *answerStream) {
	first, err := body.readChunk()
	if err != nil {
		body.close()
		writeError(ctx, body.exchange.request.id, err)
		return
	}
	ctx.SetStatusCode(first.Status)
	ctx.SetContentType(first.ContentType)
	if first.Finish != "" {
		ctx.SetBody(first.Data)
		body.ended = true
		body.close()
		return
	}
	body.encode = body.encodeData
	body.buf.Write(first.Data)
	ctx.SetBodyStream(body, -1)
}

// writeWholeAnswer collects a completion and writes it at once, or the failure.
func writeWholeAnswer(ctx *fasthttp.RequestCtx, body *answerStream) {
	defer body.close()
	x := body.exchange
	text, last, err := body.collect()
	body.ended = true
	if err != nil {
		body.logInterrupted(err)
		writeError(ctx, x.request.id, err)
		return
	}
	choice := answerChoice{Message: &ryeford.Message{Role: "assistant", Content: text}}
	content, err := json.Marshal(newAnswerBody(x, "chat.completion", choice, last))
	if err != nil {
		writeError(ctx, x.request.id, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(content)
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

// readChunk reads the next chunk. An engine's own error is an error here.
func (s *answerStream) readChunk() (ryeford.Chunk, error) {
	chunk, err := s.exchange.read(s.ctx)
	if err == nil && chunk.Finish == ryeford.FinishError {
		err = chunkError(&chunk)
	}
	return chunk, err
}
