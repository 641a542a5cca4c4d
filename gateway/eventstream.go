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

// maxEvent is the maximum size of an event of a stream, in bytes.
const maxEvent = 1 << 20

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// readEvent reads one complete event, including its terminating empty line. It returns io.EOF
// if the stream ended after a complete event.
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

// isEmptyLine reports whether a line is empty and thus ends an event.
func isEmptyLine(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// eventID returns the ID of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}

// isLaterEvent reports whether id follows the ID of the last event. IDs that aren't numbers
// can't be compared and always count as later.
func isLaterEvent(last, id string) bool {
	lastNumber, errLast := strconv.ParseInt(last, 10, 64)
	number, errID := strconv.ParseInt(id, 10, 64)
	if errLast != nil || errID != nil {
		return true
	}
	return number > lastNumber
}
