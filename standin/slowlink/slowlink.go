// Package slowlink plays a link with a limited bandwidth between a router and an HTTP server, which
// all concurrent responses share.
//
// It doesn't play the link's latency, and doesn't delay requests.
package slowlink

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// chunk is the number of bytes that are sent at once, about ten packets.
	chunk = 14 << 10
	// maxLate is the maximum delay of a chunk by scheduling of the process that the link makes up
	// for. A longer delay reduces the throughput.
	maxLate = 100 * time.Millisecond
)

// A Handler is a server behind a link. It may be used concurrently.
type Handler struct {
	server http.Handler
	link   *link
}

// New returns a server behind a link that limits the rate of responses, in bytes per second.
func New(server http.Handler, bytesPerSecond int) *Handler {
	return &Handler{server: server, link: &link{bytesPerSecond: bytesPerSecond}}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.server.ServeHTTP(&writer{ResponseWriter: w, ctx: r.Context(), link: h.link}, r)
}

// A link limits the total rate of its writers.
type link struct {
	bytesPerSecond int

	mu      sync.Mutex
	writers int       // number of writes in progress
	idleAt  time.Time // when all bytes sent so far have been transferred
}

func (l *link) beginWrite() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writers == 0 {
		l.idleAt = later(l.idleAt, time.Now())
	}
	l.writers++
}

func (l *link) endWrite() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writers--
}

// wait accounts for n bytes and waits until the link has transferred all but the last chunk of the
// bytes sent so far. It reports false if ctx is done before.
func (l *link) wait(ctx context.Context, n int) bool {
	now := time.Now()
	l.mu.Lock()
	l.idleAt = later(l.idleAt, now.Add(-maxLate)).Add(l.transferTime(n))
	due := l.idleAt.Add(-l.transferTime(chunk))
	l.mu.Unlock()
	return clock.Sleep(ctx, due.Sub(now))
}

// transferTime returns the time that n bytes take on the link.
func (l *link) transferTime(n int) time.Duration {
	return time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond)
}

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

// Write implements io.Writer. An error means that the caller has closed the connection.
func (w *writer) Write(content []byte) (int, error) {
	w.link.beginWrite()
	defer w.link.endWrite()
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
		// Without a flush, net/http would buffer the part and send it with the next one. If the
		// caller has closed the connection, the next Write returns an error as well.
		_ = http.NewResponseController(w.ResponseWriter).Flush()
	}
	return written, nil
}
