package gateway

import (
	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
)

// recordReport takes what an endpoint says of itself with a response.
func (x *exchange) recordReport(from *roster.Entry, report *ryeford.EndpointReport) {
	f, q := x.forwarder, x.request
	// The list may have it later or never: requests reached an endpoint 10 s after its own word.
	leaves := report.Leaving && f.roster.Leave(clock.Now(), from.ID)
	if leaves {
		f.metrics.Count("ryeford_leaving_endpoints_total", "")
	}
	if leaves || report.Rest > 0 {
		_ = f.log.Log("decision", "endpoint_report", "request", q.meta.ID, "endpoint", from.ID, "leaves", leaves, "rest", roundTime(report.Rest))
	}
}
