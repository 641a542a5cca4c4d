// Package boundedlog prevents a slow or blocked log output from delaying requests: lines
// are queued up to a limit, and lines beyond the limit are dropped and counted.
//
// It owns the queue and the goroutine that writes its lines to the output.
package boundedlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// flushInterval is how long lines are collected before they are written in one batch.
const flushInterval = 100 * time.Millisecond

// A Writer queues lines for another writer. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	queue   []byte
	stopped bool

	dropped  atomic.Int64
	reported int64 // dropped lines reported in the log; used by run only
	wake     chan struct{}
	done     chan struct{}
}

// New returns a Writer to out that queues at most limit bytes. It must be closed.
func New(out io.Writer, limit int) *Writer {
	w := &Writer{
		out:   out,
		limit: limit,
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full or the Writer is closed. It never
// waits for out and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || len(w.queue)+len(line) > w.limit {
		w.dropped.Add(1)
		return len(line), nil
	}
	if len(w.queue) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.queue = append(w.queue, line...)
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the Writer. It waits for out, and never returns an
// error.
func (w *Writer) Close() error {
	w.mu.Lock()
	stopped := w.stopped
	w.stopped = true
	w.mu.Unlock()
	if !stopped {
		close(w.wake)
	}
	<-w.done
	return nil
}

// run writes the queued lines in batches until the Writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushInterval)
		w.flush()
	}
	w.flush()
}

// flush writes the queued lines, and the number of lines dropped since it was last reported.
func (w *Writer) flush() {
	w.mu.Lock()
	batch := w.queue
	w.queue = nil
	w.mu.Unlock()
	// There is nowhere to report an error of the log output.
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
	if dropped := w.dropped.Load(); dropped > w.reported {
		_, _ = fmt.Fprintf(w.out, "msg=\"log lines dropped\" lines=%d\n", dropped-w.reported)
		w.reported = dropped
	}
}
