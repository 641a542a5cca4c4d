package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
)

// complete starts a run and streams its answer.
func (e *engineServer) complete(ctx *fasthttp.RequestCtx) {
	var request engine.CompletionRequest
	if !readJSON(ctx, &request) {
		return
	}
	r := newRun(
		ryeford.AttemptID(ctx.Request.Header.Peek(engine.HeaderAttempt)),
		ryeford.ChatID(ctx.Request.Header.Peek(engine.HeaderChat)),
		request,
	)
	status := e.begin(r)
	if status != fasthttp.StatusOK {
		ctx.Error("refused", status)
		return
	}
	go e.generate(r)
	e.stream(ctx, r, 0)
}

// begin records a run, and returns 200 or the status of its refusal.
func (e *engineServer) begin(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Refuse {
		return fasthttp.StatusServiceUnavailable
	}
	if !e.serves(r.request.Model) {
		return fasthttp.StatusNotFound
	}
	if _, ok := e.runs[r.attempt]; ok {
		return fasthttp.StatusConflict
	}
	r.affected = e.fault.Times == 0 || e.affected < e.fault.Times
	if r.affected {
		e.affected++
	}
	e.runs[r.attempt] = r
	r.record = len(e.counts.Runs)
	e.counts.Runs = append(e.counts.Runs, RunRecord{
		Attempt: string(r.attempt),
		Chat:    string(r.chat),
		At:      time.Now(),
	})
	return fasthttp.StatusOK
}

// stream sends a run's events from an index on.
func (e *engineServer) stream(ctx *fasthttp.RequestCtx, r *run, index int) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(&eventStream{engine: e, run: r, fault: e.faultOf(r), index: index}, -1)
}

// lose forgets a run, as an engine does that restarts.
func (e *engineServer) lose(r *run) {
	r.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, r.attempt)
}

// attempt joins a run that was started before, after its last event that the
// caller has, or cancels it.
func (e *engineServer) attempt(ctx *fasthttp.RequestCtx, id ryeford.AttemptID) {
	e.mu.Lock()
	r := e.runs[id]
	e.mu.Unlock()
	if r == nil {
		ctx.Error("no such attempt", fasthttp.StatusNotFound)
		return
	}
	if ctx.IsDelete() {
		r.cancel()
		return
	}
	_, offset, err := engine.ParseEventID(string(ctx.Request.Header.Peek(engine.HeaderLastEvent)))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.stream(ctx, r, int(offset+1))
}

// tokenEvent returns the event of one token.
func tokenEvent(r *run, token string) engine.CompletionChunk {
	return engine.CompletionChunk{
		ID:      string(r.attempt),
		Choices: []engine.Choice{{Delta: engine.Delta{Content: token}}},
	}
}

// finishEvent returns the last event of an answer.
func finishEvent(r *run, reason ryeford.FinishReason, usage *ryeford.Usage) engine.CompletionChunk {
	return engine.CompletionChunk{
		ID:      string(r.attempt),
		Choices: []engine.Choice{{FinishReason: reason}},
		Usage:   usage,
	}
}

// errorEvent returns the event of a failure.
func errorEvent(r *run, message string) engine.CompletionChunk {
	return engine.CompletionChunk{
		ID:    string(r.attempt),
		Error: &engine.CompletionError{Type: "server_error", Message: message},
	}
}
