package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ryeford/ryeford/agentfleet/engine"
)

// errCut makes fasthttp cut a connection amid an answer.
var errCut = &Error{Op: "stream", Err: context.Canceled}

// An eventStream is the body of a streamed answer.
type eventStream struct {
	engine *engineServer
	run    *run
	fault  EngineFault
	index  int
	buf    bytes.Buffer
	ended  bool
}

// Read implements io.Reader. It waits for the next events.
func (s *eventStream) Read(p []byte) (int, error) {
	for s.buf.Len() == 0 {
		if s.ended {
			return 0, io.EOF
		}
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	return s.buf.Read(p)
}

// fill writes the next events to the buffer, or waits for some.
func (s *eventStream) fill() error {
	events, done, changed := s.run.from(s.index)
	for _, event := range events {
		if s.fault.DieAfter > 0 && s.index >= s.fault.DieAfter {
			s.engine.lose(s.run)
			return errCut
		}
		s.writeEvent(event)
		s.index++
	}
	if done {
		s.buf.WriteString("data: [DONE]\n\n")
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

// writeEvent writes one event, in disorder if the fault says so: each second
// event goes behind its successor.
func (s *eventStream) writeEvent(event engine.CompletionChunk) {
	if !s.fault.Disorder {
		s.writeSSE(s.index, event)
		return
	}
	foreign := tokenEvent(s.run, "of another answer ")
	s.write(engine.EventID("another-attempt", int64(s.index)), foreign)
	if s.index%2 == 0 && event.Choices[0].FinishReason == "" {
		return // sent behind the next one
	}
	s.writeSSE(s.index, event)
	s.writeSSE(s.index, event)
	if s.index > 0 {
		earlier, _, _ := s.run.from(s.index - 1)
		s.writeSSE(s.index-1, earlier[0])
	}
}

// writeSSE writes one event of the run.
func (s *eventStream) writeSSE(index int, event engine.CompletionChunk) {
	s.write(engine.EventID(s.run.attempt, int64(index)), event)
}

// write writes one server-sent event.
func (s *eventStream) write(id string, event engine.CompletionChunk) {
	data, err := json.Marshal(&event)
	if err != nil {
		return
	}
	fmt.Fprintf(&s.buf, "id: %s\ndata: %s\n\n", id, data)
}
