package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/retry"
)

const (
	// maxWholeBody is the greatest size, in bytes, of a response that is read whole
	// before it is passed on.
	maxWholeBody = 8 << 20
	// writeMargin is how long after the request's deadline the caller may still read the
	// response.
	writeMargin = 300 * time.Millisecond
)

// A relay passes endpoints' responses on to one caller: a stream event by event, any
// other response whole. A stream that breaks off may be continued by the response to a
// later attempt.
type relay struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	protocol ryeford.Protocol
	metrics  *telemetry.Set
	arrived  time.Time // the request
	deadline time.Time // of the request
	headOnly bool      // the caller wants no body

	onFirst func()        // called for the first event, or once a whole response is read
	first   time.Duration // from the request's arrival until then
	begun   atomic.Bool   // the head of a stream was sent to the caller
	events  int           // that were sent to the caller
	lastID  string        // of the last event with an ID that was sent to the caller
}

// pass passes a response on, unless it is withheld. It returns how that ended the
// attempt, and why unless the caller has it all.
func (r *relay) pass(ctx context.Context, response *endpoint.Response, withheld bool) (retry.End, error) {
	if isSuccess(response.Status) && isEventStream(response.Header) {
		return r.passEvents(ctx, response)
	}
	return r.passWhole(response, withheld)
}

// isSuccess reports whether a status is a success.
func isSuccess(status int) bool { return status >= 200 && status < 300 }

// passWhole reads a response whole and then passes it on.
func (r *relay) passWhole(response *endpoint.Response, withheld bool) (retry.End, error) {
	body, err := response.ReadAll(maxWholeBody)
	if err != nil {
		return retry.EndLost, &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost, Err: err}
	}
	r.recordFirst()
	switch {
	case r.begun.Load(): // it can't continue the stream
		return retry.EndLost, newStatusError(response.Status)
	case withheld:
		return retry.EndFailed, newStatusError(response.Status)
	}
	r.writeHeader(response)
	if !r.headOnly {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(response.Status)
	if _, err = r.writer.Write(body); err != nil {
		return retry.EndStopped, &ryeford.MayHaveRunError{Reason: ryeford.ReasonCancelled, Err: err}
	}
	return retry.EndAnswered, nil
}

// passEvents passes a stream on, event by event. Bytes of an event that is not whole
// are never passed on.
func (r *relay) passEvents(ctx context.Context, response *endpoint.Response) (retry.End, error) {
	reader := bufio.NewReader(response)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			r.begin(response) // if it had no event
			return retry.EndAnswered, nil
		}
		if err != nil {
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return retry.EndLost, &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost, Err: err}
		}
		r.recordFirst()
		id := eventID(event)
		if r.begun.Load() && id != "" && !follows(r.lastID, id) {
			continue // the caller has it already
		}
		if err := r.writeEvent(response, event); err != nil {
			return retry.EndStopped, &ryeford.MayHaveRunError{Reason: ryeford.ReasonCancelled, Err: err}
		}
		if id != "" {
			r.lastID = id
		}
		r.events++
	}
}

// recordFirst notes that the first event, or a whole response, has been read.
func (r *relay) recordFirst() {
	if r.onFirst != nil {
		r.onFirst()
		r.onFirst = nil
	}
	if r.first == 0 {
		r.first = clock.Since(r.arrived)
		r.metrics.Observe("ryeford_first_seconds", r.first.Seconds())
	}
}

// writeHeader sets the response's header, without sending it yet.
func (r *relay) writeHeader(response *endpoint.Response) {
	// An error means that the connection is closed already, which writing shows.
	_ = r.control.SetWriteDeadline(time.Now().Add(clock.Until(r.deadline) + writeMargin))
	header := r.writer.Header()
	for name, values := range r.protocol.ResponseHeader(response.Header) {
		header[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // none of net/http's own
		}
	}
}

// begin sends the head of a stream, unless it was sent.
func (r *relay) begin(response *endpoint.Response) {
	if r.begun.Load() {
		return
	}
	r.writeHeader(response)
	r.writer.WriteHeader(response.Status)
	r.begun.Store(true)
}

// writeEvent sends one event to the caller at once.
func (r *relay) writeEvent(response *endpoint.Response, event []byte) error {
	r.begin(response)
	if _, err := r.writer.Write(event); err != nil {
		return err
	}
	return r.control.Flush()
}

// newStatusError returns the error of an attempt whose response was not passed on
// because of its status.
func newStatusError(status int) error {
	return &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineError, Err: &ryeford.StatusError{Status: status}}
}
