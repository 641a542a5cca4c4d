package gateway

import "github.com/ryeford/ryeford/internal/clock"

// addMetrics registers the gauges of a Gateway.
func (g *Gateway) addMetrics() {
	g.metrics.Gauge("ryeford_in_flight", func() float64 { return float64(g.drain.inFlight.Load()) })
	g.metrics.Gauge("ryeford_endpoints", func() float64 { return float64(g.roster.Len()) })
	g.metrics.Gauge("ryeford_resting_endpoints", func() float64 { return float64(g.backoffs.Len()) })
	g.metrics.Gauge("ryeford_evacuated_domains", func() float64 { return float64(len(g.configuration.evacuations.lastRead().Orders)) })
	g.metrics.Gauge("ryeford_quarantined_requests", func() float64 { return float64(len(g.quarantine.table.Held())) })
	g.metrics.Gauge("ryeford_stream_records", func() float64 { return float64(g.streams.tracker.Len()) })
	g.metrics.Gauge("ryeford_admitted_share", func() float64 { return g.overload.LowestShare(clock.Now()) })
	g.metrics.Gauge("ryeford_peers", func() float64 { return float64(g.peers.Alive(clock.Now())) })
	g.metrics.Gauge("ryeford_lease_seconds", func() float64 { return g.configuration.lease.Remaining(clock.Now()).Seconds() })
	g.metrics.Gauge("ryeford_endpoints_age_seconds", func() float64 {
		age, _ := g.endpoints.lease.Age(clock.Now())
		return age.Seconds()
	})
	g.metrics.Gauge("ryeford_configuration_version", func() float64 { return float64(g.configuration.version()) })
}
