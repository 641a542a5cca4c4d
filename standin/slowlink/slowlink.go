// Package slowlink plays a slow link between a router and an HTTP server: responses
// come at no more than the link's rate, whatever number of calls share it.
//
// It does not play the link's latency, nor the time that requests take.
package slowlink

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// chunk is how many bytes are passed on at once: ten packets.
	chunk = 14 << 10
	// maxLate is how late a chunk may be passed on, because the process did not run, without
	// the link bearing less for it.
	maxLate = 100 * time.Millisecond
)

// A Handler is a server behind a link of its own. It may be used concurrently.
type Handler struct {
	server http.Handler
	link   *link
}

// New returns a server behind a link of so many bytes a second, in the direction of the
// responses.
func New(server http.Handler, bytesPerSecond int) *Handler {
	return &Handler{server: server, link: &link{bytesPerSecond: bytesPerSecond}}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.server.ServeHTTP(&writer{ResponseWriter: w, ctx: r.Context(), link: h.link}, r)
}

// A link bears so many bytes a second.
type link struct {
	bytesPerSecond int

	mu      sync.Mutex
	writers int       // that write to it
	free    time.Time // when all that was passed on so far has gone over it
}

// begin begins a write.
func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writers == 0 {
		l.free = later(l.free, time.Now())
	}
	l.writers++
}

// end ends a write.
func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writers--
}

// wait waits until n bytes have gone over the link, but for a chunk, and reports false if
// ctx ends before.
func (l *link) wait(ctx context.Context, n int) bool {
	now := time.Now()
	l.mu.Lock()
	l.free = later(l.free, now.Add(-maxLate)).Add(l.takes(n))
	gone := l.free.Add(-l.takes(chunk))
	l.mu.Unlock()
	return clock.Sleep(ctx, gone.Sub(now))
}

// takes returns the time in which n bytes go over the link.
func (l *link) takes(n int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// A writer writes one response at the link's rate.
type writer struct {
	http.ResponseWriter
	ctx  context.Context
	link *link
}

// Write implements io.Writer. An error means that the caller has gone.
func (w *writer) Write(content []byte) (int, error) {
	w.link.begin()
	defer w.link.end()
	written := 0
	for written < len(content) {
		part := content[written:min(written+chunk, len(content))]
		if !w.link.wait(w.ctx, len(part)) {
			return written, w.ctx.Err()
		}
		n, err := w.ResponseWriter.Write(part)
		written += n
		if err != nil {
			return written, err
		}
		// A part that is kept back would come with the next one. Responses of net/http
		// can be flushed; the error says that the caller has gone, as the next Write does.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
	return written, nil
}
