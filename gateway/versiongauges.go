package gateway

import (
	"fmt"
	"sync"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// maxVersionGauges is the maximum number of gauges. Further versions have none.
const maxVersionGauges = 256

// A versionGauges holds a gauge for each software version of a service: the number of its endpoints that accept
// requests. A gauge stays, at zero, after its version has gone.
type versionGauges struct {
	metrics *telemetry.Set

	mu        sync.Mutex
	accepting map[string]int // by name of the gauge
}

// set sets the gauges to the numbers of the listed versions.
func (g *versionGauges) set(versions map[string]map[ryeford.SoftwareVersion]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.accepting == nil {
		g.accepting = make(map[string]int)
	}
	for name := range g.accepting {
		g.accepting[name] = 0
	}
	for service, counts := range versions {
		for version, n := range counts {
			g.setOne(fmt.Sprintf("ryeford_version_endpoints{service=%q,software=%q}", service, string(version)), n)
		}
	}
}

// setOne sets one gauge, and registers it if it is new and there is room. g.mu is held.
func (g *versionGauges) setOne(name string, n int) {
	_, registered := g.accepting[name]
	if !registered && len(g.accepting) >= maxVersionGauges {
		return
	}
	g.accepting[name] = n
	if registered {
		return
	}
	g.metrics.Gauge(name, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.accepting[name])
	})
}
