package gateway

import (
	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
)

// recordReport takes what an endpoint says of itself with a response.
func (x *exchange) recordReport(from *roster.Entry, report *ryeford.EndpointReport) {
	f, q := x.forwarder, x.request
	if report.Leaving || report.Rest > 0 {
		_ = f.log.Log("decision", "endpoint_report", "request", q.meta.ID, "endpoint", from.ID, "leaving", report.Leaving, "rest", roundTime(report.Rest))
	}
}
