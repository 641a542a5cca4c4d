package engine

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/eventstream"
)

func TestEventReader(t *testing.T) {
	const event = "id: a1:3\ndata: {\"choices\":[{\"delta\":{\"content\":\"good\"}}]}\n\n"
	for _, test := range []struct {
		rule string
		body string
		want *ryeford.Chunk // nil: no chunk
		err  error          // returned by the last call of Next
	}{
		{"an event is read as a chunk", event + "data: [DONE]\n", &ryeford.Chunk{Attempt: "a1", Offset: 3, Data: []byte("good")}, io.EOF},
		{"the end marker ends the stream", "data: [DONE]\n", nil, io.EOF},
		{"a stream without the end marker is broken", "", nil, io.ErrUnexpectedEOF},
		{"comments and unknown fields are skipped", ": ping\nretry: 5\n\ndata: [DONE]\n", nil, io.EOF},
		{
			"an engine's error ends the answer",
			"id: a1:4\ndata: {\"error\":{\"type\":\"internal\",\"message\":\"no memory\"}}\n\ndata: [DONE]\n",
			&ryeford.Chunk{Attempt: "a1", Offset: 4, Finish: ryeford.FinishError, Failure: "no memory"}, io.EOF,
		},
	} {
		t.Run(test.rule, func(t *testing.T) {
			r := newEventReader(io.NopCloser(strings.NewReader(test.body)))
			if test.want != nil {
				chunk, err := r.Next()
				assert.NilError(t, err)
				assert.DeepEqual(t, chunk, *test.want)
			}
			_, err := r.Next()
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
		})
	}
}

// TestEventReaderInvalid checks that invalid events are errors.
func TestEventReaderInvalid(t *testing.T) {
	for _, body := range []string{
		"data: {}\n",          // no ID
		"id: a1\ndata: {}\n",  // no offset
		"id: :1\ndata: {}\n",  // no attempt
		"id: a1:1\ndata: {\n", // malformed JSON
		"id: a1:1\ndata: " + strings.Repeat("x", eventstream.MaxLine) + "\n",
	} {
		_, err := newEventReader(io.NopCloser(strings.NewReader(body))).Next()
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%.40s", body)
	}
}
