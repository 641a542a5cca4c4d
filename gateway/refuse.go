package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/ryeford/ryeford"
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
	status, retryAfter := statusOf(err)
	if status == http.StatusRequestEntityTooLarge || status == http.StatusBadRequest {
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
	g.writeRefusal(w, id, status, retryAfter)
	g.metrics.Count("ryeford_refused_total", reasonOf(err))
	_ = g.log.Log("decision", "refuse", "request", id, "method", r.Method, "host", r.Host, "path", r.URL.Path,
		"version", g.configuration.version(), "lease", g.configuration.leaseLeft(), "status", status, "reason", reasonOf(err), "took", roundTime(time.Since(arrived)), "err", err)
}

// writeRefusal writes an answer of the gateway's own.
func (g *Gateway) writeRefusal(w http.ResponseWriter, id ryeford.RequestID, status int, retryAfter time.Duration) {
	header := w.Header()
	g.platform.Protocol.ErrorHeader(header, id, retryAfter)
	header["Content-Type"] = nil
	header.Set("Content-Length", "0")
	w.WriteHeader(status)
}

// statusOf returns the HTTP status of a failure, and when to come back.
func statusOf(err error) (int, time.Duration) {
	var input *ryeford.InputError
	var notRun *ryeford.NotRunError
	var unknown *ryeford.UnknownError
	switch {
	case errors.As(err, &input) && input.Status != 0:
		return input.Status, 0
	case errors.As(err, &input):
		return http.StatusBadRequest, 0
	case errors.As(err, &unknown) && unknown.Reason == ryeford.ReasonDeadline:
		return http.StatusGatewayTimeout, 0
	case errors.As(err, &unknown):
		// It may wrap a later try that has not run: that is no promise.
		return http.StatusBadGateway, 0
	case errors.As(err, &notRun):
		return http.StatusServiceUnavailable, retry.Spread(notRun.RetryAfter)
	}
	return http.StatusBadGateway, 0
}

// reasonOf returns the code of a failure.
func reasonOf(err error) string {
	var input *ryeford.InputError
	var notRun *ryeford.NotRunError
	var unknown *ryeford.UnknownError
	switch {
	case errors.As(err, &input):
		return "input"
	case errors.As(err, &unknown):
		return string(unknown.Reason)
	case errors.As(err, &notRun):
		return string(notRun.Reason)
	}
	return "failure"
}
