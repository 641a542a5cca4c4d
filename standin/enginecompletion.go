package standin

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/internal/eventstream"
)

func (e *engineServer) complete(ctx *fasthttp.RequestCtx) {
	r, err := newRun(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	status, retryAfter := e.start(r)
	if status != fasthttp.StatusOK {
		ctx.Error("refused", status)
		if retryAfter > 0 {
			ctx.Response.Header.Set("Retry-After", strconv.Itoa(retryAfter))
		}
		return
	}
	go e.generate(r)
	e.stream(ctx, r, 0)
}

// start records a run and returns 200, or the status of its refusal. retryAfter is the Retry-After
// of a refusal in seconds, or zero for none.
func (e *engineServer) start(r *run) (status, retryAfter int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Refuse {
		return fasthttp.StatusServiceUnavailable, e.fault.RetryAfterS
	}
	if !e.serves(r.request.Model) {
		return fasthttp.StatusNotFound, 0
	}
	if _, ok := e.runs[r.attempt]; ok {
		return fasthttp.StatusConflict, 0
	}
	r.affected = e.fault.Times == 0 || e.affected < e.fault.Times
	if r.affected {
		e.affected++
	}
	e.runs[r.attempt] = r
	r.record = len(e.counts.Runs)
	e.counts.Runs = append(e.counts.Runs, RunRecord{
		Attempt:  string(r.attempt),
		Chat:     string(r.chat),
		At:       time.Now(),
		Admitted: r.admitted,
	})
	return fasthttp.StatusOK, 0
}

// stream sends a run's events, starting at an index.
func (e *engineServer) stream(ctx *fasthttp.RequestCtx, r *run, index int) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStream(&eventStream{engine: e, run: r, fault: e.faultFor(r), index: index}, -1)
}

// drop cancels and removes a run, as a crash of the engine does.
func (e *engineServer) drop(r *run) {
	r.cancel()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, r.attempt)
}

// attempt resumes the stream of a run after the last event that the caller has, or cancels the
// run.
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

// errCut makes fasthttp close a connection in the middle of an answer.
var errCut = &Error{Op: "stream", Err: context.Canceled}

// An eventStream is the body of a streamed answer.
type eventStream struct {
	engine *engineServer
	run    *run
	fault  EngineFault
	index  int
	buf    eventstream.Buffer
	ended  bool
}

// Read implements io.Reader. It waits for the next events.
func (s *eventStream) Read(p []byte) (int, error) {
	return s.buf.ReadOrFill(p, s.fill)
}

// fill writes the next events to the buffer, or waits until there are some. It returns io.EOF
// after the last one.
func (s *eventStream) fill() error {
	if s.ended {
		return io.EOF
	}
	events, done, changed := s.run.eventsFrom(s.index)
	for _, event := range events {
		if s.fault.DieAfter > 0 && s.index >= s.fault.DieAfter {
			s.engine.drop(s.run)
			return errCut
		}
		if err := s.writeEvent(event); err != nil {
			return err
		}
		s.index++
	}
	if done {
		s.buf.WriteDone()
		s.ended = true
		return nil
	}
	if len(events) > 0 {
		return nil
	}
	select {
	case <-changed:
		return nil
	case <-s.run.ctx.Done():
		return errCut
	}
}

// writeEvent writes one event. With the fault Disorder, every second event is sent after its
// successor, which is sent twice, and each event is preceded by an event of another attempt.
func (s *eventStream) writeEvent(event engine.CompletionChunk) error {
	if !s.fault.Disorder {
		return s.write(s.run.attempt, s.index, event)
	}
	if err := s.write("another-attempt", s.index, s.run.tokenEvent("of another answer ")); err != nil {
		return err
	}
	if s.index%2 == 0 && event.Choices[0].FinishReason == "" {
		return nil // sent after the next one
	}
	for range 2 {
		if err := s.write(s.run.attempt, s.index, event); err != nil {
			return err
		}
	}
	if s.index == 0 {
		return nil
	}
	earlier, _, _ := s.run.eventsFrom(s.index - 1)
	return s.write(s.run.attempt, s.index-1, earlier[0])
}

func (s *eventStream) write(attempt ryeford.AttemptID, index int, event engine.CompletionChunk) error {
	return s.buf.WriteEvent(eventstream.Event{ID: engine.EventID(attempt, int64(index)), Data: &event})
}
