package gateway

import (
	"sync"
	"time"
)

// overloadGap is how long no request of a service is refused for load before its overload
// is over.
const overloadGap = time.Second

// overloads remembers, for each service, since when its requests have been refused for load.
// It is safe for concurrent use.
type overloads struct {
	mu       sync.Mutex
	services map[string]overload
}

// An overload is a span of time in which requests were refused for load.
type overload struct{ began, last time.Time }

// newOverloads returns an overloads without any.
func newOverloads() *overloads { return &overloads{services: make(map[string]overload)} }

// add notes that a request of a service is refused for load.
func (o *overloads) add(now time.Time, service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if now.Sub(s.last) > overloadGap {
		s.began = now
	}
	s.last = now
	o.services[service] = s
}

// lasted returns for how long a service's requests have been refused for load, zero if they
// are not.
func (o *overloads) lasted(now time.Time, service string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.services[service]
	if now.Sub(s.last) > overloadGap {
		return 0
	}
	return now.Sub(s.began)
}
