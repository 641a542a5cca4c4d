// Package telemetry holds the metrics of one process and serves them in the Prometheus
// text format.
//
// It owns a process's set of metrics and their HTTP server. The packages that count
// define the names of the metrics; docs/OPERATIONS.md and docs/operators.md list them.
package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/ryeford/ryeford/internal/httpserver"
)

// A Set is the metrics of one process.
type Set struct {
	set             *metrics.Set
	gossipBytesSent *metrics.Counter
}

// NewSet returns an empty Set.
func NewSet() *Set {
	set := metrics.NewSet()
	return &Set{
		set:             set,
		gossipBytesSent: set.NewCounter("ryeford_control_sent_bytes_total"),
	}
}

// Count adds one to a counter. A nonempty reason becomes its label "reason".
func (s *Set) Count(name, reason string) { s.Add(name, reason, 1) }

// Add adds n to a counter. A nonempty reason becomes its label "reason".
func (s *Set) Add(name, reason string, n int) {
	if reason != "" {
		name = fmt.Sprintf("%s{reason=%q}", name, reason)
	}
	s.set.GetOrCreateCounter(name).Add(n)
}

// Gauge registers a gauge whose value is read each time the metrics are written. It panics
// if the name is already registered.
func (s *Set) Gauge(name string, value func() float64) {
	s.set.NewGauge(name, value)
}

// Observe adds a value, in seconds, to a histogram.
func (s *Set) Observe(name string, seconds float64) {
	s.set.GetOrCreateHistogram(name).Update(seconds)
}

// AddGossipBytesSent counts bytes of gossip sent.
func (s *Set) AddGossipBytesSent(bytes int) { s.gossipBytesSent.Add(bytes) }

// Write returns the set's metrics and those of the process in the Prometheus text format.
func (s *Set) Write() []byte {
	var b bytes.Buffer
	s.set.WritePrometheus(&b)
	metrics.WriteProcessMetrics(&b)
	return b.Bytes()
}

// Serve serves /metrics and /healthz over HTTP until ctx ends. Its error is an
// *httpserver.Error.
func Serve(ctx context.Context, address netip.AddrPort, set *Set) error {
	return httpserver.ListenAndServe(ctx, address, &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(c *fasthttp.RequestCtx) {
			switch string(c.Path()) {
			case "/metrics":
				c.SetBody(set.Write())
			case "/healthz":
				c.SetBodyString("ok\n")
			default:
				c.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	})
}
