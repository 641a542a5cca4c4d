// Package eventstream writes and reads responses of the media type text/event-stream, in the
// form that chat completions use: the data of each event is JSON, and a complete response
// ends with the line "data: [DONE]". It owns the buffer of encoded bytes; the calling code
// provides the events.
package eventstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
)

// doneData is the data of the end marker. A response without it is incomplete.
const doneData = "[DONE]"

// An Event is one server-sent event. An empty ID or Name is omitted.
type Event struct {
	ID   string
	Name string
	Data any // encoded as JSON
}

// A Buffer holds encoded events until the HTTP server reads them. The zero Buffer is
// empty and ready to use. A Buffer is not safe for concurrent use.
type Buffer struct {
	bytes.Buffer
}

// WriteEvent appends one event. If its data can't be encoded, it appends nothing and
// returns the error of encoding/json.
func (b *Buffer) WriteEvent(e Event) error {
	data, err := json.Marshal(e.Data)
	if err != nil {
		return err
	}
	b.writeField("id: ", e.ID)
	b.writeField("event: ", e.Name)
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	return nil
}

// writeField appends one line of an event, unless its value is empty.
func (b *Buffer) writeField(name, value string) {
	if value == "" {
		return
	}
	b.WriteString(name)
	b.WriteString(value)
	b.WriteByte('\n')
}

// WriteDone appends the end marker of a complete response.
func (b *Buffer) WriteDone() { b.WriteString("data: " + doneData + "\n\n") }

// ReadOrFill reads from b as an io.Reader does. While b is empty it calls fill, which
// appends to b or returns an error: io.EOF after the last event, or any other error to
// abort the response. ReadOrFill returns that error unchanged.
func (b *Buffer) ReadOrFill(p []byte, fill func() error) (int, error) {
	for b.Len() == 0 {
		if err := fill(); err != nil {
			return 0, err
		}
	}
	return b.Read(p)
}

// MaxLine is the longest line of a stream that a Reader reads, in bytes.
const MaxLine = 1 << 20

// A Reader reads the events of a response. Fields other than ID and data are skipped.
type Reader struct {
	ID       string // of the last event read; empty if it has none
	Data     string // the first data line of that event
	Complete bool   // whether the end marker was read

	scanner *bufio.Scanner
}

// NewReader returns a Reader of a response's body.
func NewReader(body io.Reader) *Reader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, MaxLine)
	return &Reader{scanner: scanner}
}

// Next reads the next event. It returns false at the end marker, at the end of the body and
// after an error (see Err).
func (r *Reader) Next() bool {
	r.ID = ""
	for r.scanner.Scan() {
		name, value, _ := strings.Cut(r.scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "id":
			r.ID = value
		case name == "data" && value == doneData:
			r.Complete = true
			return false
		case name == "data":
			r.Data = value
			return true
		}
	}
	return false
}

// Err returns the error that ended the reading: that of the body, or bufio.ErrTooLong. It is
// nil at the end of the body.
func (r *Reader) Err() error { return r.scanner.Err() }
