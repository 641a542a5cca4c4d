package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/answer"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

// errBroken is the error of a fakeStream that breaks.
var errBroken = errors.New("broken")

// A fakeStream is one stream of a fakeStreamer.
type fakeStream struct {
	openErr  error // returned instead of a stream
	chunks   int   // number of chunks, starting at the requested offset
	finishes bool  // the last chunk ends the answer
	stalls   bool  // the stream stalls after its chunks instead of breaking
}

// A fakeStreamer is an engine that returns one stream per call. It repeats the last one
// for further calls. Its other methods are not called.
type fakeStreamer struct {
	ryeford.Engine
	streams []fakeStream
	calls   []string
}

func (e *fakeStreamer) Complete(ctx context.Context, _ ryeford.ChatID, c *ryeford.Completion) (ryeford.ChunkReader, error) {
	return e.open(ctx, "complete", c.Attempt, 0)
}

func (e *fakeStreamer) Resume(ctx context.Context, attempt ryeford.AttemptID, offset int64) (ryeford.ChunkReader, error) {
	return e.open(ctx, fmt.Sprintf("resume %d", offset), attempt, offset)
}

func (e *fakeStreamer) Cancel(context.Context, ryeford.AttemptID) error {
	e.calls = append(e.calls, "cancel")
	return nil
}

// open records a call and returns its stream.
func (e *fakeStreamer) open(ctx context.Context, call string, attempt ryeford.AttemptID, offset int64) (ryeford.ChunkReader, error) {
	e.calls = append(e.calls, call)
	stream := e.streams[0]
	if len(e.streams) > 1 {
		e.streams = e.streams[1:]
	}
	if stream.openErr != nil {
		return nil, stream.openErr
	}
	return &fakeReader{ctx: ctx, stream: stream, attempt: attempt, next: offset}, nil
}

// A fakeReader reads a fakeStream.
type fakeReader struct {
	ctx     context.Context
	stream  fakeStream
	attempt ryeford.AttemptID
	next    int64
	sent    int
}

func (r *fakeReader) Next() (ryeford.Chunk, error) {
	if r.sent == r.stream.chunks {
		if r.stream.stalls {
			<-r.ctx.Done()
			return ryeford.Chunk{}, r.ctx.Err()
		}
		return ryeford.Chunk{}, errBroken
	}
	chunk := ryeford.Chunk{Attempt: r.attempt, Offset: r.next, Data: []byte("token ")}
	r.next++
	r.sent++
	if r.sent == r.stream.chunks && r.stream.finishes {
		chunk.Finish = ryeford.FinishStop
	}
	return chunk, nil
}

func (r *fakeReader) Close() error { return nil }

// testAgent returns an Agent with one backend. It does not listen.
func testAgent(b *backend) *Agent {
	logger := log.NewNopLogger()
	return &Agent{
		settings:    &settings.Agent{},
		incarnation: "incarnation-2",
		log:         logger,
		decisions:   decision.NewLog(logger),
		metrics:     telemetry.NewSet(),
		backends:    map[ryeford.EngineID]*backend{b.id: b},
		attempts:    newAttempts(time.Minute, time.Second),
		changed:     make(chan struct{}),
	}
}

// TestExecuteCompletion checks the calls to an engine and the end of the answer if streams
// break, stall or can't be opened.
func TestExecuteCompletion(t *testing.T) {
	unavailable := &engine.Error{Op: engine.PathCompletions, Status: http.StatusServiceUnavailable}
	notFound := &ryeford.NotFoundError{Kind: "engine resource"}
	const firstToken, betweenTokens = 4 * time.Second, 2 * time.Second
	for _, test := range []struct {
		rule    string
		streams []fakeStream
		calls   []string
		reason  ryeford.Reason // empty: the answer is complete
		notRun  bool
		chunks  int
		elapsed time.Duration
	}{
		{
			"a complete answer", []fakeStream{{chunks: 3, finishes: true}},
			[]string{"complete"}, "", false, 3, 0,
		},
		{
			"a broken stream is resumed from the next chunk", []fakeStream{{chunks: 2}, {chunks: 1, finishes: true}},
			[]string{"complete", "resume 2"}, "", false, 3, 0,
		},
		{
			"a stalled stream is resumed", []fakeStream{{chunks: 2, stalls: true}, {chunks: 1, finishes: true}},
			[]string{"complete", "resume 2"}, "", false, 3, betweenTokens,
		},
		{
			"the first token may take longer", []fakeStream{{stalls: true}, {chunks: 1, finishes: true}},
			[]string{"complete", "resume 0"}, "", false, 1, firstToken,
		},
		{
			"a run fails after two resumes and is cancelled", []fakeStream{{chunks: 1}},
			[]string{"complete", "resume 1", "resume 2", "cancel"}, ryeford.ReasonEngineLost, false, 4, 0,
		},
		{
			"the reason is that of the last stream", []fakeStream{{chunks: 1}, {}, {stalls: true}},
			[]string{"complete", "resume 1", "resume 1", "cancel"}, ryeford.ReasonStalled, false, 2, betweenTokens,
		},
		{
			"an unavailable engine did not run the attempt", []fakeStream{{openErr: unavailable}},
			[]string{"complete"}, ryeford.ReasonEngineLost, true, 1, 0,
		},
		{
			"a run that is not found by a resume may have run", []fakeStream{{}, {openErr: notFound}},
			[]string{"complete", "resume 0", "resume 0", "cancel"}, ryeford.ReasonEngineLost, false, 1, 0,
		},
	} {
		t.Run(test.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeStreamer{streams: test.streams}
				b := newBackend("endpoint-1.1", admission.Limits{}, 1)
				b.engine = e
				a := testAgent(b)
				a.settings.Limits = settings.AgentLimits{FirstToken: firstToken, BetweenTokens: betweenTokens}
				const offset = 10 // another attempt sent the earlier chunks
				r := newRun(&wire.Dispatch{Attempt: "a1", Offset: offset, Completion: &ryeford.Completion{Attempt: "a1"}}, b, false)
				start := time.Now()
				a.execute(r)
				assert.Equal(t, time.Since(start), test.elapsed)
				assert.DeepEqual(t, e.calls, test.calls)

				chunks, err := r.log.Read(t.Context(), offset)
				assert.NilError(t, err)
				assert.Equal(t, len(chunks), test.chunks)
				for i := range chunks {
					assert.Equal(t, chunks[i].Offset, int64(offset+i))
				}
				last := chunks[len(chunks)-1]
				assert.Equal(t, last.Reason, test.reason)
				assert.Equal(t, last.NotRun, test.notRun)
				assert.Equal(t, last.Finish == ryeford.FinishStop, test.reason == "")
				_, err = r.log.Read(t.Context(), last.Offset+1)
				assert.ErrorType(t, err, &answer.OffsetError{}, "the answer continues after its last chunk")
			})
		})
	}
}
