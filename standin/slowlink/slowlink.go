// Package slowlink plays a slow link between a router and an HTTP server: responses
// come at no more than the link's rate, whatever number of calls share it.
//
// It does not play the link's latency, nor the time that requests take.
package slowlink

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"
)

// chunk is how many bytes are passed on at once: ten packets.
const chunk = 14 << 10

// A Handler is a server behind a link of its own. It may be used concurrently.
type Handler struct {
	server http.Handler
	link   *rate.Limiter
}

// New returns a server behind a link of so many bytes a second, in the direction of the
// responses.
func New(server http.Handler, bytesPerSecond int) *Handler {
	return &Handler{server: server, link: rate.NewLimiter(rate.Limit(bytesPerSecond), chunk)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.server.ServeHTTP(&writer{ResponseWriter: w, ctx: r.Context(), link: h.link}, r)
}

// A writer writes one response at the link's rate.
type writer struct {
	http.ResponseWriter
	ctx  context.Context
	link *rate.Limiter
}

// Write implements io.Writer. An error means that the caller has gone.
func (w *writer) Write(content []byte) (int, error) {
	written := 0
	for written < len(content) {
		part := content[written:min(written+chunk, len(content))]
		if err := w.link.WaitN(w.ctx, len(part)); err != nil {
			return written, err
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
