package gateway

import (
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/retry"
)

// refuse answers a request that is not admitted.
func (h *handler) refuse(w http.ResponseWriter, r *http.Request, meta *ryeford.RequestMeta, arrived time.Time, err error) {
	verdict := giveup.Decide(giveup.Request{Err: err})
	if giveup.ClosesConnection(&verdict) {
		w.Header().Set("Connection", "close")
	}
	var id ryeford.RequestID
	if meta != nil {
		id = meta.ID
	}
	writeVerdict(w, h.protocol, id, &verdict)
	h.metrics.Count("ryeford_refused_total", verdict.Reason)
	_ = h.log.Log("decision", "refuse", "request", id, "method", r.Method, "host", r.Host, "path", r.URL.Path,
		"version", h.configuration.version(), "lease", h.configuration.leaseLeft(), "status", verdict.Status, "reason", verdict.Reason, "took", roundTime(time.Since(arrived)), "err", err)
}

// writeVerdict writes a response of the gateway's own.
func writeVerdict(w http.ResponseWriter, protocol ryeford.Protocol, id ryeford.RequestID, verdict *giveup.Verdict) {
	var retryAfter time.Duration
	if verdict.Status == http.StatusServiceUnavailable {
		retryAfter = retry.Spread(verdict.RetryAfter)
	}
	header := w.Header()
	protocol.ErrorHeader(header, id, retryAfter)
	header["Content-Type"] = nil // none of net/http's own
	header.Set("Content-Length", "0")
	w.WriteHeader(verdict.Status)
}
