// Package transfer aborts calls whose transfer has stalled, regardless of the size of the
// request and the response and of the total duration.
//
// Rule: a call is aborted if less than minProgress of its request is sent in an interval, if
// no byte of its response arrives within an interval after that, or if less than minProgress
// of the response arrives in a later interval.
//
// Why: a timeout of the whole call limits the size of its transfer, so that a large response
// never arrives over a slow link, however often it is retried. Occasional single bytes don't
// count as progress: they would block a call that could succeed on another connection.
//
// A Watch owns the timer of one call. The calling code must read the response, and a request
// body that may be large, through the Watch, and stop it at the end.
package transfer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
	"time"
)

// minProgress is how many bytes must be transferred in each interval, except while the
// response is awaited. It is a small part of what a slow link carries in an interval.
const minProgress = 8 << 10

// maxRead limits the bytes of one read of the response, so that progress is recorded as it
// happens: a chunked body fills the whole buffer before its read returns, and the buffer may
// be large. A read in progress hides at most half of minProgress.
const maxRead = minProgress / 2

// A Watch monitors the transfer of one call. It is safe for concurrent use.
type Watch struct {
	wait     time.Duration // for the response's first byte, in addition to interval
	interval time.Duration
	start    time.Time
	cancel   context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	sent     int64     // bytes of the request
	received int64     // bytes of the response
	before   int64     // sent plus received at the start of the interval
	deadline time.Time // the end of the interval
}

// NewWatch returns a Watch of a call that is sent now. It calls cancel with a *StallError if
// the transfer stalls. The first byte of the response may take wait longer than interval.
func NewWatch(wait, interval time.Duration, cancel context.CancelCauseFunc) *Watch {
	w := &Watch{wait: wait, interval: interval, start: time.Now(), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = w.start.Add(wait + interval)
	w.timer = time.AfterFunc(wait+interval, w.check)
	return w
}

// Stop stops the Watch, which then no longer cancels the call.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// ResponseReader returns a reader of the response's body that records the bytes received.
func (w *Watch) ResponseReader(body io.Reader) io.Reader {
	return &reader{body: body, record: w.recordReceived, maxRead: maxRead}
}

// RequestReader returns a reader of the request's body that records the bytes sent. Bytes that
// the kernel has accepted count as sent.
func (w *Watch) RequestReader(body io.Reader) io.Reader {
	return &reader{body: body, record: w.recordSent, maxRead: math.MaxInt}
}

// Interrupted returns a *InterruptedError for a response that ended early with err.
func (w *Watch) Interrupted(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &InterruptedError{Received: w.received, After: time.Since(w.start), Err: err}
}

// recordReceived records the result of a read of the response. The first bytes start an
// interval and count towards it.
func (w *Watch) recordReceived(n int, _ error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.received == 0 && n > 0 {
		w.startInterval(w.interval)
	}
	w.received += int64(n)
}

// recordSent records the result of a read of the request's body. At its end, the wait for the
// response starts as for a call without a body.
func (w *Watch) recordSent(n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent += int64(n)
	if errors.Is(err, io.EOF) && w.received == 0 {
		w.startInterval(w.wait + w.interval)
	}
}

// startInterval starts an interval. w.mu must be held.
func (w *Watch) startInterval(interval time.Duration) {
	w.before = w.sent + w.received
	w.deadline = time.Now().Add(interval)
	w.timer.Reset(interval)
}

// check cancels the call if the interval has ended with too little progress, and starts the
// next interval otherwise. It does nothing if another interval has started since the timer
// fired.
func (w *Watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.deadline) {
		return
	}
	if w.sent+w.received-w.before < minProgress {
		w.cancel(&StallError{Interval: w.interval})
		return
	}
	w.startInterval(w.interval)
}

// A reader reads a body and records the result of each read.
type reader struct {
	body    io.Reader
	record  func(n int, err error)
	maxRead int // bytes
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), r.maxRead)])
	r.record(n, err)
	return n, err
}

// A StallError reports that too little was transferred in an interval.
type StallError struct {
	Interval time.Duration
}

func (e *StallError) Error() string { return "stalled for " + e.Interval.String() }

// An InterruptedError reports that a response could not be read to its end. The number of bytes
// received distinguishes a server that does not answer from a link that is too slow.
type InterruptedError struct {
	Received int64         // bytes
	After    time.Duration // since the call was sent
	Err      error
}

func (e *InterruptedError) Error() string {
	return fmt.Sprintf("broken off after %d bytes and %s: %v", e.Received, e.After.Round(time.Millisecond), e.Err)
}

func (e *InterruptedError) Unwrap() error { return e.Err }
