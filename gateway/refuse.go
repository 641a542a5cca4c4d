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

// maxDiscarded bounds what is read of a refused request's body, in bytes: as net/http does.
const maxDiscarded = 256 << 10

// refuseUnread answers a request that is not admitted and whose body has not been read.
// net/http would await the rest of it, with no limit on the time, before it sends the
// answer: so what is on the way already is read here, and if there is more the connection
// is closed after the answer.
func (h *handler) refuseUnread(w http.ResponseWriter, r *http.Request, q *request, err error) {
	if r.ContentLength != 0 && !discardBody(w, r) {
		w.Header().Set("Connection", "close")
	}
	h.refuse(w, r, q, err)
}

// discardBody reads the rest of a body, for a short time, and reports whether it is read
// whole and the connection fit for another request. Once the body is read, net/http reads
// on to notice that the caller closes the connection: if the deadline passes before it is
// lifted, that looks like one, and ends the request's context.
func discardBody(w http.ResponseWriter, r *http.Request) bool {
	control := http.NewResponseController(w)
	// An error of setting a deadline means that the connection is closed already, which
	// reading it shows.
	_ = control.SetReadDeadline(time.Now().Add(admit.UnreadBodyTimeout))
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscarded); !errors.Is(err, io.EOF) {
		return false // the deadline stays: net/http would read on without one
	}
	_ = control.SetReadDeadline(time.Time{})
	return r.Context().Err() == nil
}

// refuse answers a request that is not admitted.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, q *request, err error) {
	// What this router lacks, another one may have: the returns are spread as those of a
	// lone refusal.
	verdict := giveup.Decide(giveup.Request{Err: err, Caller: q.caller()})
	if giveup.ClosesConnection(&verdict) {
		w.Header().Set("Connection", "close")
	}
	writeVerdict(w, h.protocol, q.id(), &verdict)
	h.metrics.Count("ryeford_refused_total", verdict.Reason)
	_ = h.log.Log("decision", "refuse", "request", q.id(), "method", r.Method, "host", r.Host, "path", r.URL.Path,
		"version", h.configuration.version(), "lease", h.configuration.leaseLeft(), "status", verdict.Status, "reason", verdict.Reason, "took", roundTime(clock.Since(q.arrived)), "err", err)
}

// headerShouldRetry keeps common clients of model APIs from sending a request again by themselves.
const headerShouldRetry = "X-Should-Retry"

// writeVerdict writes a response of the gateway's own.
func writeVerdict(w http.ResponseWriter, protocol ryeford.Protocol, id ryeford.RequestID, verdict *giveup.Verdict) {
	header := w.Header()
	protocol.ErrorHeader(header, id, retry.Between(verdict.RetryAfter.From, verdict.RetryAfter.To))
	if verdict.Final {
		header.Set(headerShouldRetry, "false")
	}
	header["Content-Type"] = nil // none of net/http's own
	header.Set("Content-Length", "0")
	w.WriteHeader(verdict.Status)
}
