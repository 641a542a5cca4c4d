// Package boundedlog keeps a slow or stuck log from delaying requests: lines wait
// in a queue of limited size, and those that find it full are counted and dropped.
//
// It owns the queue and the goroutine that writes it. It relies on no other package.
package boundedlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// flushEvery is how long lines wait so that many are written at once.
const flushEvery = 100 * time.Millisecond

// A Writer queues lines for another writer. It may be used from any goroutine.
type Writer struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	queue   []byte
	stopped bool

	dropped  atomic.Int64
	reported int64 // of dropped, those that the log says; used by run only
	wake     chan struct{}
	done     chan struct{}
}

// New returns a Writer to out that holds at most limit bytes. It must be closed.
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

// Write queues a line, or drops it. It never waits for out and never fails.
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

// Close writes what waits and stops. It waits for out, and never fails.
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

// flush writes what waits, and how many lines were dropped since it last said so.
func (w *Writer) flush() {
	w.mu.Lock()
	batch := w.queue
	w.queue = nil
	w.mu.Unlock()
	// A log that can't be written has no other place to say so.
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
	if dropped := w.dropped.Load(); dropped > w.reported {
		_, _ = fmt.Fprintf(w.out, "msg=\"log lines dropped\" lines=%d\n", dropped-w.reported)
		w.reported = dropped
	}
}
