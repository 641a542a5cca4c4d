// Package boundedlog writes log lines without ever blocking the one that logs:
// lines wait in a bounded queue, and those that find it full are counted and
// dropped.
package boundedlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// flushEvery is how often the lines that wait are written.
const flushEvery = 100 * time.Millisecond

// A Writer queues lines for another writer.
type Writer struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	queue   []byte
	stopped bool

	dropped atomic.Int64
	told    int64 // of dropped, in the log already
	wake    chan struct{}
	done    chan struct{}
}

// New returns a Writer that holds at most limit bytes. Close writes what is left.
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

// Write queues a line. It never blocks on the writer behind, and never fails.
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

// Close writes what waits and stops.
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

// run writes what waits, a batch at a time.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushEvery)
		w.flush()
	}
	w.flush()
}

// flush writes what waits, and how many lines were dropped since the last time.
func (w *Writer) flush() {
	w.mu.Lock()
	batch := w.queue
	w.queue = nil
	w.mu.Unlock()
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
	if dropped := w.dropped.Load(); dropped > w.told {
		_, _ = fmt.Fprintf(w.out, "msg=\"log lines dropped\" lines=%d\n", dropped-w.told)
		w.told = dropped
	}
}
