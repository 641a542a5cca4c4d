package gateway

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
)

// recordReport records the endpoint status report of a response.
func (x *exchange) recordReport(from *roster.Entry, report *ryeford.EndpointReport) {
	f, q, now := x.forwarder, x.request, clock.Now()
	// The list may contain this late or never, for example during an outage of the store.
	leaving := report.Leaving && f.roster.MarkLeaving(now, from.ID)
	if leaving {
		f.metrics.Count("ryeford_leaving_endpoints_total", "")
	}
	// An endpoint that rejects all requests has a low load and would attract even more.
	backingOff := report.RetryAfter > 0 && f.backoffs.Start(now, from.ID, report.RetryAfter)
	if backingOff {
		f.metrics.Count("ryeford_rests_total", "")
	}
	if leaving || backingOff {
		_ = f.log.Log("decision", "endpoint_report", "request", q.meta.ID, "endpoint", from.ID, "leaves", leaving, "rest", roundTime(report.RetryAfter))
	}
}

// expireBackoffs removes and logs the back-offs that have ended.
func (l *endpointList) expireBackoffs(now time.Time) {
	for _, backoff := range l.backoffs.Expire(now) {
		_ = l.log.Log("decision", "endpoint_rested", "endpoint", backoff.Endpoint, "for", roundTime(backoff.Until.Sub(backoff.Began)), "refused", backoff.Refused)
	}
}
