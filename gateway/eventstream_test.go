package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/endpoint"
)

// TestReadEvent checks that only complete events are read.
func TestReadEvent(t *testing.T) {
	long := "data: " + strings.Repeat("x", 8<<10) + "\n\n" // longer than the reader's buffer
	for _, row := range []struct {
		name   string
		stream string
		events []string
		end    error
	}{
		{"two events", "id: 1\ndata: a\n\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, io.EOF},
		{"lines that end with CR LF", "data: a\r\n\r\n", []string{"data: a\r\n\r\n"}, io.EOF},
		{"a long line", long, []string{long}, io.EOF},
		{"an empty stream", "", nil, io.EOF},
		{"empty lines at the end", "data: a\n\n\n", []string{"data: a\n\n"}, io.EOF},
		{"truncated within an event", "data: a\n\ndata: b\n", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"truncated within a line", "data: a\n\nda", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
	} {
		t.Run(row.name, func(t *testing.T) {
			reader := bufio.NewReader(strings.NewReader(row.stream))
			for _, want := range row.events {
				event, err := readEvent(reader)
				assert.NilError(t, err)
				assert.Equal(t, string(event), want)
			}
			_, err := readEvent(reader)
			assert.ErrorIs(t, err, row.end)
		})
	}
}

// TestReadLargeEvent checks that an event larger than maxEvent is an error.
func TestReadLargeEvent(t *testing.T) {
	_, err := readEvent(bufio.NewReader(strings.NewReader("data: " + strings.Repeat("x", maxEvent))))
	var tooLarge *endpoint.TooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}

// TestEventIDs checks which ID an event has, and which events of a resumed stream are new to the
// caller.
func TestEventIDs(t *testing.T) {
	assert.Equal(t, eventID([]byte("id: 7\ndata: x\n\n")), "7")
	assert.Equal(t, eventID([]byte("data: x\nid:8\n\n")), "8")
	assert.Equal(t, eventID([]byte("data: id: 9\n\n")), "")
	for _, row := range []struct {
		name       string
		last, next string
		want       bool
	}{
		{"the next number", "7", "8", true},
		{"compared as numbers", "9", "10", true},
		{"the same", "7", "7", false},
		{"an earlier one", "8", "7", false},
		{"not numbers: later", "a", "b", true},
		{"the first", "", "1", true},
	} {
		assert.Equal(t, isLaterEvent(row.last, row.next), row.want, row.name)
	}
}

// TestIsEventStream checks which responses are passed on event by event.
func TestIsEventStream(t *testing.T) {
	for contentType, want := range map[string]bool{
		"text/event-stream": true, "text/event-stream; charset=utf-8": true, "Text/Event-Stream": true,
		"text/plain": false, "": false, "text/event-stream; bad": false,
	} {
		assert.Equal(t, isEventStream(http.Header{"Content-Type": {contentType}}), want, contentType)
	}
}
