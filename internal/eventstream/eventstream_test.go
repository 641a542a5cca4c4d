package eventstream

import (
	"bufio"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWriteEvent checks the encoding of an event.
func TestWriteEvent(t *testing.T) {
	for _, test := range []struct {
		name  string
		event Event
		want  string
	}{
		{"data alone", Event{Data: 1}, "data: 1\n\n"},
		{"with an id", Event{ID: "a/1", Data: "x"}, "id: a/1\ndata: \"x\"\n\n"},
		{"with a name", Event{Name: "error", Data: "x"}, "event: error\ndata: \"x\"\n\n"},
		{"with both", Event{ID: "a/1", Name: "error", Data: "x"}, "id: a/1\nevent: error\ndata: \"x\"\n\n"},
		{"a line break is escaped", Event{Data: "x\ny"}, "data: \"x\\ny\"\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b Buffer
			assert.NilError(t, b.WriteEvent(test.event))
			assert.Equal(t, b.String(), test.want)
		})
	}
}

// TestWriteEventFails checks that an event that can't be encoded leaves nothing in the buffer.
func TestWriteEventFails(t *testing.T) {
	var b Buffer
	assert.Assert(t, b.WriteEvent(Event{ID: "a/1", Data: math.NaN()}) != nil)
	assert.Equal(t, b.Len(), 0)
}

// TestReadOrFill checks that a body is read to its end marker, or to the error that
// aborts it.
func TestReadOrFill(t *testing.T) {
	cut := errors.New("cut")
	for _, test := range []struct {
		name string
		end  error
		want error
	}{
		{"complete", io.EOF, nil},
		{"cut", cut, cut},
	} {
		t.Run(test.name, func(t *testing.T) {
			var b Buffer
			fills := 0
			fill := func() error {
				fills++
				switch fills {
				case 1:
					return b.WriteEvent(Event{Data: 1})
				case 2:
					return nil // nothing appended: fill is called again
				case 3:
					b.WriteDone()
					return nil
				}
				return test.end
			}
			content, err := io.ReadAll(readerFunc(func(p []byte) (int, error) { return b.ReadOrFill(p, fill) }))
			assert.Assert(t, errors.Is(err, test.want))
			assert.Equal(t, string(content), "data: 1\n\ndata: [DONE]\n\n")
		})
	}
}

// A readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestReader checks which events are read, and how the end marker, the end of the body and
// an error are reported.
func TestReader(t *testing.T) {
	tooLong := "data: " + strings.Repeat("x", MaxLine) + "\n"
	for _, test := range []struct {
		name     string
		body     string
		want     []string // ID and data of each event
		complete bool
		err      error
	}{
		{"with IDs", "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n", []string{"1 a", "2 b"}, true, nil},
		{"an ID applies to one event only", "id: 1\ndata: a\n\ndata: b\n\n", []string{"1 a", " b"}, false, nil},
		{"nothing is read after the end marker", "data: [DONE]\n\n", nil, true, nil},
		{"other lines are skipped", ": ping\nevent: error\nretry: 5\ndata: a\n\n", []string{" a"}, false, nil},
		{"an empty body", "", nil, false, nil},
		{"a line that is too long", tooLong, nil, false, bufio.ErrTooLong},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := NewReader(strings.NewReader(test.body))
			var got []string
			for r.Next() {
				got = append(got, r.ID+" "+r.Data)
			}
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, r.Complete, test.complete)
			assert.Equal(t, r.Err(), test.err)
		})
	}
}
