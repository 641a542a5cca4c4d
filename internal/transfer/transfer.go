// Package transfer ends calls whose response no longer comes, however large the response
// is and however long it takes.
//
// Rule: a call is given up if nothing of its response has come within its first interval,
// or less than minProgress in any later one.
//
// Why: a bound on the whole call is one on the size of its response. What takes longer on
// a link never comes then, however often it is asked for (incident inc1). A single byte
// now and then is no progress either: it would hold a caller that could ask another
// connection.
//
// A Watch owns the timer of one call. It relies on its caller to read the response through
// it and to stop it.
package transfer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// minProgress is how many bytes must come in an interval, once the response has begun. It
// is 1 % of what a link of 10 Mbit/s carries in 0.7 s. Not measured.
const minProgress = 8 << 10

// A Watch follows the transfer of one response. It may be used by several goroutines.
type Watch struct {
	interval time.Duration
	began    time.Time
	end      context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	received int64 // bytes
	before   int64 // bytes that had come when the interval began
}

// NewWatch returns a Watch of a call that is sent now. It calls end with a *StallError once
// the transfer stalls. wait is how much longer the first byte may take than interval.
func NewWatch(wait, interval time.Duration, end context.CancelCauseFunc) *Watch {
	w := &Watch{interval: interval, began: time.Now(), end: end}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(wait+interval, w.check)
	return w
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// Reader returns a reader of the response's body that notes what comes.
func (w *Watch) Reader(body io.Reader) io.Reader { return &watchedReader{body: body, watch: w} }

// Broken returns the error of a transfer that broke off with err, which says how much had
// come.
func (w *Watch) Broken(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &BrokenError{Received: w.received, After: time.Since(w.began), Err: err}
}

// note takes a number of bytes that have come. The first ones begin an interval.
func (w *Watch) note(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.received == 0 && n > 0 {
		w.timer.Reset(w.interval)
	}
	w.received += int64(n)
}

// check ends the call if the interval that is over brought too little, and begins another.
func (w *Watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.received-w.before < minProgress {
		w.end(&StallError{Interval: w.interval})
		return
	}
	w.before = w.received
	w.timer.Reset(w.interval)
}

// A watchedReader reads a body for a Watch.
type watchedReader struct {
	body  io.Reader
	watch *Watch
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.watch.note(n)
	return n, err
}

// A StallError says that too little of a response came in an interval.
type StallError struct {
	Interval time.Duration
}

// Error returns the text of e.
func (e *StallError) Error() string { return "stalled for " + e.Interval.String() }

// A BrokenError says that a response could not be read to its end. How much had come tells
// a source that does not answer from a link that is too slow for the answer.
type BrokenError struct {
	Received int64         // bytes
	After    time.Duration // since the call was sent
	Err      error
}

// Error returns the text of e.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("broken off after %d bytes and %s: %v", e.Received, e.After.Round(time.Millisecond), e.Err)
}

// Unwrap returns the cause of e.
func (e *BrokenError) Unwrap() error { return e.Err }
