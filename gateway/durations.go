package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// slowestDecay is the factor by which a route's slowest duration decreases with each
	// further response, so that a single slow request loses its influence.
	slowestDecay = 0.995
	// defaultSlowest is the duration assumed for a route without any response yet.
	// defaultSlowestStream is that of a route of streams, as a fraction of the route's timeout.
	defaultSlowest       = time.Second
	defaultSlowestStream = 0.4
)

// durations tracks the slowest requests of each route, from arrival to the end of the response.
// A router that is shutting down admits no request that would take longer than the time that
// the router has left. It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

func newDurations() *durations { return &durations{routes: make(map[string]time.Duration)} }

// observe records the duration of a request that was answered.
func (d *durations) observe(rule *ryeford.RouteRule, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.routes[rule.Name] = max(took, time.Duration(slowestDecay*float64(d.routes[rule.Name])))
}

// slowest returns how long a request on a route may take.
func (d *durations) slowest(rule *ryeford.RouteRule) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if took, ok := d.routes[rule.Name]; ok {
		return took
	}
	if rule.Kind == ryeford.RouteStream {
		return time.Duration(defaultSlowestStream * float64(rule.Timeout))
	}
	return defaultSlowest
}
