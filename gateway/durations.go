package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// slowestDecay is the part of a route's slowest duration that is left after each
	// further response, so that one slow request is forgotten. Without unit.
	slowestDecay = 0.995
	// defaultSlowest is the duration assumed for a route without any response yet, and
	// defaultSlowestStream that of a route of streams, as a part of the route's timeout.
	//
	defaultSlowest       = time.Second
	defaultSlowestStream = 0.4
)

// durations remembers how long requests take at the slowest on each route, from their
// arrival to the end of the response. A stopping router admits no request that would
// take longer than the router has left. Its methods may be called concurrently.
type durations struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

func newDurations() *durations { return &durations{routes: make(map[string]time.Duration)} }

// observe takes the duration of a request that was answered.
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
