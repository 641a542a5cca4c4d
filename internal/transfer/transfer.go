// Package transfer ends calls whose transfer no longer goes on, however large the request
// and the response are and however long they take.
//
// Rule: a call is given up if less than minProgress of its request has gone in an interval,
// if nothing of its response has come within an interval after that, or less than
// minProgress in any later one.
//
// Why: a bound on the whole call is one on the size of what it transfers. What takes longer
// on a link never arrives then, however often it is tried. A single byte
// now and then is no progress either: it would hold a caller that could ask another
// connection.
//
// A Watch owns the timer of one call. It relies on its caller to read the response through
// it, and the body of a request that may be large, and to stop it.
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

// minProgress is how many bytes must be transferred in an interval, but for the one in
// which the response is awaited. It is 1 % of what a link of 10 Mbit/s carries in 0.7 s.
const minProgress = 8 << 10

// maxRead is how many bytes are read at once, so that progress is noted as it comes: a body
// in chunks fills the whole buffer before its read returns, and a reader that doubles its
// buffer asks for a megabyte at once. Half of minProgress, so that a read can't hide more.
const maxRead = minProgress / 2

// A Watch follows the transfer of one call. It may be used by several goroutines.
type Watch struct {
	wait     time.Duration // for the response's first byte, beyond interval
	interval time.Duration
	began    time.Time
	end      context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	sent     int64     // bytes of the request
	received int64     // bytes of the response
	before   int64     // bytes that had been sent and received when the interval began
	over     time.Time // the end of the interval
}

// NewWatch returns a Watch of a call that is sent now. It calls end with a *StallError once
// the transfer stalls. wait is how much longer the first byte may take than interval.
func NewWatch(wait, interval time.Duration, end context.CancelCauseFunc) *Watch {
	w := &Watch{wait: wait, interval: interval, began: time.Now(), end: end}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = w.began.Add(wait + interval)
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
func (w *Watch) Reader(body io.Reader) io.Reader {
	return &reader{body: body, note: w.noteReceived, most: maxRead}
}

// Request returns a reader of the request's body that notes what is sent. What the kernel
// has taken counts as sent.
func (w *Watch) Request(body io.Reader) io.Reader {
	return &reader{body: body, note: w.noteSent, most: math.MaxInt}
}

// Broken returns the error of a transfer that broke off with err, which says how much had
// come.
func (w *Watch) Broken(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &BrokenError{Received: w.received, After: time.Since(w.began), Err: err}
}

// noteReceived takes what a read of the response returned. The first bytes begin an
// interval, to which they count.
func (w *Watch) noteReceived(n int, _ error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.received == 0 && n > 0 {
		w.begin(w.interval)
	}
	w.received += int64(n)
}

// noteSent takes what a read of the request's body returned. Once all is sent, the
// response is awaited as that of a call without a body.
func (w *Watch) noteSent(n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent += int64(n)
	if errors.Is(err, io.EOF) && w.received == 0 {
		w.begin(w.wait + w.interval)
	}
}

// begin begins an interval. Its caller holds w.mu.
func (w *Watch) begin(interval time.Duration) {
	w.before = w.sent + w.received
	w.over = time.Now().Add(interval)
	w.timer.Reset(interval)
}

// check ends the call if the interval that is over brought too little, and begins another.
// It does nothing if another has begun since the timer went off.
func (w *Watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.over) {
		return
	}
	if w.sent+w.received-w.before < minProgress {
		w.end(&StallError{Interval: w.interval})
		return
	}
	w.begin(w.interval)
}

// A reader reads a body, and notes what each read returned.
type reader struct {
	body io.Reader
	note func(n int, err error)
	most int // bytes of one read
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), r.most)])
	r.note(n, err)
	return n, err
}

// A StallError says that too little was transferred in an interval.
type StallError struct {
	Interval time.Duration
}

func (e *StallError) Error() string { return "stalled for " + e.Interval.String() }

// A BrokenError says that a response could not be read to its end. How much had come tells
// a source that does not answer from a link that is too slow for the answer.
type BrokenError struct {
	Received int64         // bytes
	After    time.Duration // since the call was sent
	Err      error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("broken off after %d bytes and %s: %v", e.Received, e.After.Round(time.Millisecond), e.Err)
}

func (e *BrokenError) Unwrap() error { return e.Err }
