package eventstream

import (
	"bufio"
	"io"
	"strings"
)

// MaxLine is the longest line of a stream that a Reader reads, in bytes. Not measured.
const MaxLine = 1 << 20

// A Reader reads the events of a response. Fields of an event other than its ID and
// its data are skipped.
type Reader struct {
	ID       string // of the event that was read last; empty if it has none
	Data     string // of that event: its first line of data
	Complete bool   // the end marker was read

	scanner *bufio.Scanner
}

// NewReader returns a Reader of a response's body.
func NewReader(body io.Reader) *Reader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, MaxLine)
	return &Reader{scanner: scanner}
}

// Next reads the next event, and reports whether there was one: there is none after
// the end marker, the end of the body, or an error (see Err).
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

// Err returns the error of the body, or bufio.ErrTooLong, that ended the reading. It is
// nil if the body just ended.
func (r *Reader) Err() error { return r.scanner.Err() }
