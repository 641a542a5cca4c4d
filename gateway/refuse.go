package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/retry"
)

// maxDiscarded is how many bytes of a refused request's body are read at most: as in net/http.
const maxDiscarded = 256 << 10

// refuseUnread answers a request that is refused before its body has been read. net/http would
// wait for the rest of the body without a timeout before it sends the answer. So the rest is
// read here for a short time, and the connection is closed after the answer if there is more.
func (h *handler) refuseUnread(w http.ResponseWriter, r *http.Request, q *request, err error) {
	if r.ContentLength != 0 && !discardBody(w, r) {
		w.Header().Set("Connection", "close")
	}
	h.refuse(w, r, q, err)
}

// discardBody reads the rest of a body, for a short time, and reports whether it was read
// completely and the connection can be reused. After the body, net/http continues to read to
// detect that the caller disconnects. A deadline that passes before it is cleared looks like a
// disconnection and ends the request's context.
func discardBody(w http.ResponseWriter, r *http.Request) bool {
	control := http.NewResponseController(w)
	// SetReadDeadline fails only if the connection is closed; reading from it then fails too.
	_ = control.SetReadDeadline(time.Now().Add(admit.UnreadBodyTimeout))
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscarded); !errors.Is(err, io.EOF) {
		return false // the deadline is kept: net/http would read on without one
	}
	_ = control.SetReadDeadline(time.Time{})
	return r.Context().Err() == nil
}

// refuse answers a request that is not admitted.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, q *request, err error) {
	// Another router may be able to serve the request. So the Retry-After is that of a single
	// refusal and doesn't depend on recent refusals.
	outcome := giveup.Decide(giveup.Request{Err: err, Caller: q.caller()})
	if giveup.ClosesConnection(&outcome) {
		w.Header().Set("Connection", "close")
	}
	writeOutcome(w, h.protocol, q.id(), &outcome)
	h.metrics.Count("ryeford_refused_total", outcome.Reason)
	_ = h.log.Log("decision", "refuse", "request", q.id(), "method", r.Method, "host", r.Host, "path", r.URL.Path,
		"version", h.configuration.version(), "lease", h.configuration.leaseRemaining(), "status", outcome.Status, "reason", outcome.Reason, "took", roundTime(clock.Since(q.arrived)), "err", err)
}

// headerShouldRetry keeps common clients of model APIs from retrying a request automatically.
const headerShouldRetry = "X-Should-Retry"

// writeOutcome writes a response that the gateway generates itself.
func writeOutcome(w http.ResponseWriter, protocol ryeford.Protocol, id ryeford.RequestID, outcome *giveup.Outcome) {
	header := w.Header()
	protocol.ErrorHeader(header, id, retry.RandomBetween(outcome.RetryAfter.From, outcome.RetryAfter.To))
	if outcome.Final {
		header.Set(headerShouldRetry, "false")
	}
	header["Content-Type"] = nil // suppresses net/http's default
	header.Set("Content-Length", "0")
	w.WriteHeader(outcome.Status)
}
