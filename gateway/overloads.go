package gateway

import (
	"sync"
	"time"
)

// overloadGap is the time without a refusal for overload after which a service's overload has
// ended.
const overloadGap = time.Second

// overloads records, for each service, since when its requests have been refused for overload.
// It is safe for concurrent use.
type overloads struct {
	mu       sync.Mutex
	services map[string]overload
}

// An overload is a period in which requests were refused for overload.
type overload struct{ started, lastRefused time.Time }

func newOverloads() *overloads { return &overloads{services: make(map[string]overload)} }

// add records that a request of a service was refused for overload.
func (o *overloads) add(now time.Time, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if now.Sub(s.lastRefused) > overloadGap {
		s.started = now
	}
	s.lastRefused = now
	o.services[service] = s
}

// duration returns how long a service's requests have been refused for overload, or zero if
// they are not.
func (o *overloads) duration(now time.Time, service string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if now.Sub(s.lastRefused) > overloadGap {
		return 0
	}
	return now.Sub(s.started)
}
