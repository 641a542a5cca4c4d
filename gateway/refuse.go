package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/retry"
)

// The least time after which a refused caller is told to come back; it is spread
// up to twice that.
const (
	retryNotReady = 300 * time.Millisecond
	retryStale    = 100 * time.Millisecond
	retryNobody   = 150 * time.Millisecond
	retryFull     = 100 * time.Millisecond
)

// refuse answers a request that is not sent to any endpoint.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, meta *ryeford.RequestMeta, arrived time.Time, err error) {
	verdict := giveup.Decide(giveup.Request{Err: err})
	if verdict.Status == http.StatusRequestEntityTooLarge || verdict.Status == http.StatusBadRequest {
		w.Header().Set("Connection", "close")
	}
	var notRun *ryeford.NotRunError
	if errors.As(err, &notRun) && notRun.Reason == ryeford.ReasonStaleConfiguration {
		// Another router may know better.
		w.Header().Set("Connection", "close")
	}
	var id ryeford.RequestID
	if meta != nil {
		id = meta.ID
	}
	g.writeRefusal(w, id, &verdict)
	g.metrics.Count("ryeford_refused_total", verdict.Reason)
	_ = g.log.Log("decision", "refuse", "request", id, "method", r.Method, "host", r.Host, "path", r.URL.Path,
		"version", g.configuration.version(), "lease", g.configuration.leaseLeft(), "status", verdict.Status, "reason", verdict.Reason, "took", roundTime(time.Since(arrived)), "err", err)
}

// writeRefusal writes an answer of the gateway's own.
func (g *Gateway) writeRefusal(w http.ResponseWriter, id ryeford.RequestID, verdict *giveup.Verdict) {
	header := w.Header()
	var retryAfter time.Duration
	if verdict.Status == http.StatusServiceUnavailable {
		retryAfter = retry.Spread(verdict.RetryAfter)
	}
	g.platform.Protocol.ErrorHeader(header, id, retryAfter)
	header["Content-Type"] = nil
	header.Set("Content-Length", "0")
	w.WriteHeader(verdict.Status)
}
