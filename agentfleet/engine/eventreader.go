package engine

import (
	"encoding/json"
	"io"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/eventstream"
)

// An eventReader is a ryeford.ChunkReader of server-sent events.
type eventReader struct {
	body   io.ReadCloser
	events *eventstream.Reader
}

// newEventReader returns an eventReader of a response body.
func newEventReader(body io.ReadCloser) *eventReader {
	return &eventReader{body: body, events: eventstream.NewReader(body)}
}

// Close implements ryeford.ChunkReader.
func (r *eventReader) Close() error { return r.body.Close() }

// Next implements ryeford.ChunkReader. Only the end marker ends a stream with
// io.EOF: a stream that just stops is broken.
func (r *eventReader) Next() (ryeford.Chunk, error) {
	if r.events.Next() {
		return parseChunk(r.events.ID, r.events.Data)
	}
	if r.events.Complete {
		return ryeford.Chunk{}, io.EOF
	}
	if err := r.events.Err(); err != nil {
		return ryeford.Chunk{}, &Error{Op: "read stream", Err: err}
	}
	return ryeford.Chunk{}, &Error{Op: "read stream", Err: io.ErrUnexpectedEOF}
}

// parseChunk returns the chunk of one event.
func parseChunk(id, data string) (ryeford.Chunk, error) {
	attempt, offset, err := ParseEventID(id)
	if err != nil {
		return ryeford.Chunk{}, err
	}
	var event CompletionChunk
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return ryeford.Chunk{}, &Error{Op: "read event", Err: err}
	}
	chunk := ryeford.Chunk{Attempt: attempt, Offset: offset}
	if event.Usage != nil {
		chunk.Usage = *event.Usage
	}
	switch {
	case event.Error != nil:
		chunk.Finish = ryeford.FinishError
		chunk.Failure = event.Error.Message
	case len(event.Choices) > 0:
		chunk.Data = []byte(event.Choices[0].Delta.Content)
		chunk.Finish = event.Choices[0].FinishReason
	}
	return chunk, nil
}
