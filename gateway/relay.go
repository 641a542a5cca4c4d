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
	"github.com/ryeford/ryeford/gateway/callermemory"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/retry"
)

const (
	// maxBufferedBody is the maximum size, in bytes, of a response that is buffered before it is
	// passed on.
	maxBufferedBody = 8 << 20
	// writeMargin is how long after the request's deadline the caller may still read the
	// response.
	writeMargin = 300 * time.Millisecond
	// maxEventStall is how long a caller may keep the router from sending an event. Meanwhile the endpoint's
	// response is not read, and endpoints end responses that are not read for seconds.
	maxEventStall = 2 * time.Second
)

// A relay passes endpoints' responses on to one caller. It forwards a stream event by event and
// buffers any other response. A stream that is interrupted may be continued by the response to a
// later attempt.
type relay struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	protocol ryeford.Protocol
	metrics  *telemetry.Set
	memory   *callermemory.Budget
	arrived  time.Time // arrival of the request
	deadline time.Time // deadline of the request
	headOnly bool      // HEAD request: no body is sent

	onCutOff        func() // called if the caller is cut off because it reads its response too slowly
	onFirstResponse func() // called once, for the first event or a complete response
	// onFirstEvent is called right before the first event is sent to the caller. If it fails, the attempt has failed.
	onFirstEvent func(ctx context.Context) error
	// endedByCrash reports, at the end of an unframed response, whether a crash of its endpoint may have ended it.
	endedByCrash func() bool
	timeToFirst  time.Duration // from the request's arrival to the first event or complete response
	headerSent   atomic.Bool   // the header of a stream was sent to the caller
	sentEvents   int           // number of events sent to the caller
	lastEventID  string        // ID of the last event with an ID that was sent to the caller
	generated    bool          // the last response had a body or an event
}

// forward passes a response on, unless it is withheld. It returns how the attempt ended, and an
// error unless the caller received the complete response.
func (r *relay) forward(ctx context.Context, response *endpoint.Response, withheld bool) (retry.End, error) {
	r.generated = false
	if isSuccess(response.Status) && isEventStream(response.Header) {
		return r.forwardEvents(ctx, response)
	}
	return r.forwardBuffered(ctx, response, withheld)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// forwardBuffered reads the complete response and then passes it on. It doesn't read one that is not passed on.
func (r *relay) forwardBuffered(ctx context.Context, response *endpoint.Response, withheld bool) (retry.End, error) {
	if end := r.unusedEnd(withheld); end != retry.EndAnswered {
		r.recordFirstResponse()
		response.CloseUnread(maxBufferedBody)
		return end, newStatusError(response.Status)
	}
	held := r.memory.NewAllocation(func() {
		r.onCutOff()
		_ = r.control.SetWriteDeadline(endpoint.ExpiredDeadline)
	})
	defer held.Release()
	body, err := readHeld(ctx, response, held)
	if err == nil {
		err = r.checkEnd(response)
	}
	if err != nil {
		return retry.EndLost, &ryeford.MayHaveRunError{Reason: reasonOfRead(err), Err: err}
	}
	r.recordFirstResponse()
	r.generated = len(body) > 0
	r.writeHeader(response)
	if !r.headOnly {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(response.Status)
	held.Wait(clock.Now())
	if _, err = r.writer.Write(body); err != nil {
		return retry.EndStopped, &ryeford.MayHaveRunError{Reason: ryeford.ReasonCancelled, Err: err}
	}
	return retry.EndAnswered, nil
}

// unusedEnd returns how an attempt ends whose response is not passed on, or EndAnswered if it is.
func (r *relay) unusedEnd(withheld bool) retry.End {
	switch {
	case r.headerSent.Load(): // a complete response can't continue a stream
		return retry.EndLost
	case withheld:
		return retry.EndFailed
	}
	return retry.EndAnswered
}

// forwardEvents passes a stream on, event by event. An incomplete event is never passed on.
func (r *relay) forwardEvents(ctx context.Context, response *endpoint.Response) (retry.End, error) {
	reader := bufio.NewReader(response)
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			if err := r.checkEnd(response); err != nil {
				return retry.EndLost, &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost, Err: err}
			}
			r.sendHeader(response) // for a stream without events
			return retry.EndAnswered, nil
		}
		if err != nil {
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return retry.EndLost, &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost, Err: err}
		}
		r.recordFirstResponse()
		r.generated = true
		id := eventID(event)
		if r.headerSent.Load() && id != "" && !isLaterEvent(r.lastEventID, id) {
			continue // already sent to the caller
		}
		if err := r.beginStream(ctx); err != nil {
			return retry.EndStopped, &ryeford.MayHaveRunError{Reason: ryeford.ReasonVersionUnavailable, Err: err}
		}
		if err := r.writeEvent(response, event); err != nil {
			return retry.EndStopped, &ryeford.MayHaveRunError{Reason: ryeford.ReasonCancelled, Err: err}
		}
		if id != "" {
			r.lastEventID = id
		}
		r.sentEvents++
	}
}

// checkEnd returns an error if a response that has ended may be incomplete.
func (r *relay) checkEnd(response *endpoint.Response) error {
	if response.Unframed && r.endedByCrash() {
		return &endpoint.LostError{Err: io.ErrUnexpectedEOF}
	}
	return nil
}

// beginStream is called before each event.
func (r *relay) beginStream(ctx context.Context) error {
	if r.headerSent.Load() {
		return nil
	}
	return r.onFirstEvent(ctx)
}

// recordFirstResponse records the time of the first event, or of a complete response.
func (r *relay) recordFirstResponse() {
	if r.onFirstResponse != nil {
		r.onFirstResponse()
		r.onFirstResponse = nil
	}
	if r.timeToFirst == 0 {
		r.timeToFirst = clock.Since(r.arrived)
		r.metrics.Observe("ryeford_first_seconds", r.timeToFirst.Seconds())
	}
}

// writeHeader sets the response's header fields. It does not send them.
func (r *relay) writeHeader(response *endpoint.Response) {
	// SetWriteDeadline fails only if the connection is closed; writing to it then fails too.
	_ = r.control.SetWriteDeadline(time.Now().Add(clock.Until(r.deadline) + writeMargin))
	header := r.writer.Header()
	for name, values := range r.protocol.ResponseHeader(response.Header) {
		header[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := header[name]; !ok {
			header[name] = nil // suppresses net/http's default
		}
	}
}

// sendHeader sends the header of a stream if it has not been sent yet.
func (r *relay) sendHeader(response *endpoint.Response) {
	if r.headerSent.Load() {
		return
	}
	r.writeHeader(response)
	r.writer.WriteHeader(response.Status)
	r.headerSent.Store(true)
}

// writeEvent sends one event to the caller and flushes it.
func (r *relay) writeEvent(response *endpoint.Response, event []byte) error {
	r.sendHeader(response)
	// As in writeHeader, an error means that the connection is closed.
	_ = r.control.SetWriteDeadline(time.Now().Add(min(maxEventStall, clock.Until(r.deadline)+writeMargin)))
	if _, err := r.writer.Write(event); err != nil {
		return err
	}
	return r.control.Flush()
}

// newStatusError returns the error of an attempt whose response was withheld because of its
// status.
func newStatusError(status int) error {
	return &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineError, Err: &ryeford.StatusError{Status: status}}
}
