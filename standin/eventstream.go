package standin

import (
	"context"
	"io"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/internal/eventstream"
)

// errCut makes fasthttp cut a connection amid an answer.
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

// fill writes the next events to the buffer, or waits for some. It returns io.EOF
// after the last one.
func (s *eventStream) fill() error {
	if s.ended {
		return io.EOF
	}
	events, done, changed := s.run.from(s.index)
	for _, event := range events {
		if s.fault.DieAfter > 0 && s.index >= s.fault.DieAfter {
			s.engine.lose(s.run)
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

// writeEvent writes one event, in disorder if the fault says so: each second event is
// sent after its successor.
func (s *eventStream) writeEvent(event engine.CompletionChunk) error {
	if !s.fault.Disorder {
		return s.write(s.run.attempt, s.index, event)
	}
	if err := s.write("another-attempt", s.index, tokenEvent(s.run, "of another answer ")); err != nil {
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
	earlier, _, _ := s.run.from(s.index - 1)
	return s.write(s.run.attempt, s.index-1, earlier[0])
}

func (s *eventStream) write(attempt ryeford.AttemptID, index int, event engine.CompletionChunk) error {
	return s.buf.WriteEvent(eventstream.Event{ID: engine.EventID(attempt, int64(index)), Data: &event})
}
