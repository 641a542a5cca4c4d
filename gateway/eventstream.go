package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"github.com/ryeford/ryeford/gateway/endpoint"
)

// maxEvent is the greatest size of an event of a stream, in bytes.
const maxEvent = 1 << 20

// isEventStream reports whether a response is a stream of events.
func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// readEvent reads one whole event, its empty line included. io.EOF says that the
// stream ended after a whole event.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEvent:
			return nil, &endpoint.TooLargeError{}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(bytes.TrimSpace(event)) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if isEmptyLine(line) && len(event) > len(line) {
			return event, nil
		}
	}
}

// isEmptyLine reports whether a line ends an event.
func isEmptyLine(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// eventID returns the ID of an event, or none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}

// follows reports whether an event's ID comes after another's. IDs that aren't numbers
// can't be compared; they are taken to.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	after, errAfter := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || errAfter != nil {
		return true
	}
	return after > before
}
