package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
)

const (
	// maxEvent is the largest event of a stream.
	maxEvent = 1 << 20
	// writeMargin is how long behind the deadline a caller may take an answer.
	writeMargin = 300 * time.Millisecond
)

// A relay passes an endpoint's answer on to the caller.
type relay struct {
	exchange *exchange
	writer   http.ResponseWriter
	control  *http.ResponseController
	// onFirst is called once the first part of an answer is there.
	onFirst func()

	begun  bool // the head was written
	events int
	lastID string
	first  time.Duration // from the request's arrival
}

// lastEvent returns the event behind which another endpoint is to go on.
func (r *relay) lastEvent() string { return r.lastID }

// pass passes an answer on.
func (r *relay) pass(ctx context.Context, answer *endpoint.Response) (outcome, error) {
	success := answer.Status >= 200 && answer.Status < 300
	if success && isEventStream(answer.Header) {
		return r.passEvents(ctx, answer)
	}
	body, err := answer.ReadAll(maxWhole)
	if err != nil {
		return outcomeFailed, &ryeford.UnknownError{Reason: ryeford.ReasonEngineLost, Err: err}
	}
	r.noteFirst()
	if r.begun {
		// A stream that was to go on got another answer.
		return outcomeFailed, &ryeford.UnknownError{Reason: ryeford.ReasonEngineError, Err: &StatusError{Status: answer.Status}}
	}
	if !success && (r.exchange.anotherTry() || promisesNotRun(answer.Status)) {
		r.exchange.answered = true
		return outcomeFailed, &ryeford.UnknownError{Reason: ryeford.ReasonEngineError, Err: &StatusError{Status: answer.Status}}
	}
	r.writeHead(answer)
	if r.exchange.http.Method != http.MethodHead {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(answer.Status)
	_, err = r.writer.Write(body)
	if err != nil {
		return outcomeStopped, &ryeford.UnknownError{Reason: ryeford.ReasonCancelled, Err: err}
	}
	return outcomeDone, nil
}

// anotherTry reports whether a failure that an endpoint answered would be tried
// elsewhere.
func (x *exchange) anotherTry() bool {
	return x.request.rule.Idempotent() && x.sent < x.request.rule.MaxAttempts
}

// promisesNotRun reports whether callers take a status for a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isEventStream reports whether an answer is a stream of events.
func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// passEvents passes a stream on, event by event. Bytes of an event that is not
// whole are never passed on.
func (r *relay) passEvents(ctx context.Context, answer *endpoint.Response) (outcome, error) {
	reader := bufio.NewReader(answer)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			return r.endEvents(answer)
		}
		if err != nil {
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return outcomeFailed, &ryeford.UnknownError{Reason: ryeford.ReasonEngineLost, Err: err}
		}
		r.noteFirst()
		id := eventID(event)
		if r.begun && id != "" && !follows(r.lastID, id) {
			continue // the caller has it already
		}
		if err := r.writeEvent(answer, event); err != nil {
			return outcomeStopped, &ryeford.UnknownError{Reason: ryeford.ReasonCancelled, Err: err}
		}
		if id != "" {
			r.lastID = id
		}
		r.events++
	}
}

// endEvents ends a stream that is whole.
func (r *relay) endEvents(answer *endpoint.Response) (outcome, error) {
	if !r.begun {
		r.begin(answer)
	}
	return outcomeDone, nil
}

// noteFirst notes that the first part of an answer is there.
func (r *relay) noteFirst() {
	if r.onFirst != nil {
		r.onFirst()
		r.onFirst = nil
	}
	if r.first == 0 {
		r.first = time.Since(r.exchange.request.arrived)
		r.exchange.gateway.metrics.Observe("ryeford_first_seconds", r.first.Seconds())
	}
}

// writeHead writes the answer's header, without sending it yet.
func (r *relay) writeHead(answer *endpoint.Response) {
	_ = r.control.SetWriteDeadline(r.exchange.request.deadline.Add(writeMargin))
	header := r.writer.Header()
	for name, values := range r.exchange.gateway.platform.Protocol.ResponseHeader(answer.Header) {
		header[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // none of net/http's own
		}
	}
}

// begin sends the head of a stream.
func (r *relay) begin(answer *endpoint.Response) {
	r.writeHead(answer)
	r.writer.WriteHeader(answer.Status)
	r.begun = true
}

// writeEvent passes one event on at once.
func (r *relay) writeEvent(answer *endpoint.Response, event []byte) error {
	if !r.begun {
		r.begin(answer)
	}
	if _, err := r.writer.Write(event); err != nil {
		return err
	}
	return r.control.Flush()
}

// readEvent reads one whole event, its empty line included. io.EOF says that the
// stream ended behind a whole event.
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

// eventID returns the id of an event, or none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}

// follows reports whether an event's id comes after another's.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseInt(last, 10, 64)
	after, errAfter := strconv.ParseInt(id, 10, 64)
	if errBefore != nil || errAfter != nil {
		return true
	}
	return after > before
}

// A StatusError says that an endpoint answered with a failure.
type StatusError struct {
	Status int
}

// Error returns the text of e.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }
