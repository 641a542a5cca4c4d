package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// durationDecay is what is left of a route's slowest time with each answer.
	durationDecay = 0.995
	// unknownCall and unknownStream are how long a request is taken to last on a
	// route that has answered none yet: a time, and a part of the route's own.
	unknownCall   = time.Second
	unknownStream = 0.4
)

// durations remembers how long requests take, at the slowest, on each route.
type durations struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

// newDurations returns durations of no route.
func newDurations() *durations { return &durations{times: make(map[string]time.Duration)} }

// note notes how long an answered request took.
func (d *durations) note(rule *ryeford.RouteRule, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.times[rule.Name] = max(took, time.Duration(durationDecay*float64(d.times[rule.Name])))
}

// slowest returns how long a request on a route may take.
func (d *durations) slowest(rule *ryeford.RouteRule) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if took, ok := d.times[rule.Name]; ok {
		return took
	}
	if rule.Kind == ryeford.RouteStream {
		return time.Duration(unknownStream * float64(rule.Timeout))
	}
	return unknownCall
}
