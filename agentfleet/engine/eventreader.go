package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/ryeford/ryeford"
)

const (
	// firstEventBuffer and maxEventSize bound one line of a stream, in bytes. Not
	// measured.
	firstEventBuffer = 4096
	maxEventSize     = 1 << 20
)

// An eventReader is a ryeford.ChunkReader of server-sent events.
type eventReader struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// newEventReader returns an eventReader of a response body.
func newEventReader(body io.ReadCloser) *eventReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, firstEventBuffer), maxEventSize)
	return &eventReader{body: body, scanner: scanner}
}

// Close implements ryeford.ChunkReader.
func (r *eventReader) Close() error { return r.body.Close() }

// Next implements ryeford.ChunkReader. Only doneMarker ends a stream with io.EOF: a
// stream that just stops is broken.
func (r *eventReader) Next() (ryeford.Chunk, error) {
	var id string
	for r.scanner.Scan() {
		name, value, _ := strings.Cut(r.scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "id":
			id = value
		case name == "data" && value == doneMarker:
			return ryeford.Chunk{}, io.EOF
		case name == "data":
			return parseChunk(id, value)
		}
	}
	if err := r.scanner.Err(); err != nil {
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
