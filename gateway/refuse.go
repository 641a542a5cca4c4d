package gateway

import (
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/admit"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/retry"
)

// refuse answers a request that is not admitted.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, q *request, err error) {
	// What this router lacks, another one may have: the returns are spread as those of a
	// lone refusal.
	verdict := giveup.Decide(giveup.Request{Err: err, Caller: q.caller()})
	if giveup.ClosesConnection(&verdict) {
		w.Header().Set("Connection", "close")
	}
	// net/http reads what is left of a body before it answers. An error of setting the
	// deadline means that the connection is closed already.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(admit.UnreadBodyTimeout))
	writeVerdict(w, h.protocol, q.id(), &verdict)
	h.metrics.Count("ryeford_refused_total", verdict.Reason)
	_ = h.log.Log("decision", "refuse", "request", q.id(), "method", r.Method, "host", r.Host, "path", r.URL.Path,
		"version", h.configuration.version(), "lease", h.configuration.leaseLeft(), "status", verdict.Status, "reason", verdict.Reason, "took", roundTime(time.Since(q.arrived)), "err", err)
}

// writeVerdict writes a response of the gateway's own.
func writeVerdict(w http.ResponseWriter, protocol ryeford.Protocol, id ryeford.RequestID, verdict *giveup.Verdict) {
	header := w.Header()
	protocol.ErrorHeader(header, id, retry.Between(verdict.RetryAfter.From, verdict.RetryAfter.To))
	header["Content-Type"] = nil // none of net/http's own
	header.Set("Content-Length", "0")
	w.WriteHeader(verdict.Status)
}
