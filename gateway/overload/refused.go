package overload

import (
	"sync"
	"time"
)

// refusalGap is the time without a refusal after which a service's overload has ended.
const refusalGap = time.Second

// refusals records, for each service, since when its requests have been refused for overload.
// It is safe for concurrent use.
type refusals struct {
	mu       sync.Mutex
	services map[string]refusalPeriod
}

// A refusalPeriod is a period in which requests were refused for overload.
type refusalPeriod struct{ started, lastRefused time.Time }

func newRefusals() *refusals { return &refusals{services: make(map[string]refusalPeriod)} }

// add records that a request of a service was refused for overload.
func (r *refusals) add(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if now.Sub(s.lastRefused) > refusalGap {
		s.started = now
	}
	s.lastRefused = now
	r.services[service] = s
}

// duration returns how long a service's requests have been refused for overload, or zero if
// they are not.
func (r *refusals) duration(now time.Time, service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if now.Sub(s.lastRefused) > refusalGap {
		return 0
	}
	return now.Sub(s.started)
}
