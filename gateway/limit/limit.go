// Package limit decides how many of a fleet's requests a service takes in time whose endpoints report no
// load.
//
// It owns, for each service, this router's recent arrivals and response times, and what peers have
// reported of theirs. The caller passes the time and exchanges Figures with the peers. The package does
// no I/O. The rule is in service.go, the estimates in arrivals.go and times.go.
package limit

import (
	"sync"
	"time"
)

const (
	// maxServices bounds the services that are tracked, since messages of peers name them.
	maxServices = 256
	// unusedFor is how long a service is kept without a request of this router or a report of a peer.
	unusedFor = time.Minute
)

// A Room describes what a service may have.
type Room struct {
	Slots int           // requests that the endpoints which accept requests run concurrently
	Goal  time.Duration // shortest latency goal of the service's routes, or zero
	Peers int           // number of other routers that send requests to the service
}

// A Decision states which share of the arriving requests may be sent, and the figures that led to it.
type Decision struct {
	Share    float64       // from 0 to 1
	Limit    float64       // requests of the whole fleet that the service may have at once; zero if unknown
	Arrivals float64       // estimated requests per second that arrive at the whole fleet
	Mean     time.Duration // recent mean response time; zero if unknown
}

// A Table holds the state of each service, by the hash of its name. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	services map[uint32]*service
}

// New returns a Table without services.
func New() *Table { return &Table{services: make(map[uint32]*service)} }

// get returns a service's state, and creates it if there is room. Otherwise it returns nil.
func (t *Table) get(now time.Time, key uint32) *service {
	s := t.services[key]
	if s == nil {
		if len(t.services) >= maxServices {
			t.removeUnused(now)
		}
		if len(t.services) >= maxServices {
			return nil
		}
		s = newService(now)
		t.services[key] = s
	}
	s.usedAt = now
	return s
}

func (t *Table) removeUnused(now time.Time) {
	for key, s := range t.services {
		if now.Sub(s.usedAt) > unusedFor {
			delete(t.services, key)
		}
	}
}

// Arrive counts a request that arrives at a service, and returns which share of the arrivals may be sent.
func (t *Table) Arrive(now time.Time, key uint32, room Room) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(now, key)
	if s == nil {
		return Decision{Share: 1}
	}
	s.arrivals.add(now)
	s.lastArrival = now
	return s.decide(now, room)
}

// Answered records the time that an endpoint took for a request.
func (t *Table) Answered(now time.Time, key uint32, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.get(now, key); s != nil {
		s.times.add(now, took)
	}
}

// Rejected records that an endpoint has rejected a request that was sent when a share of the arrivals could be sent.
func (t *Table) Rejected(now time.Time, key uint32, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.get(now, key); s != nil {
		s.rejected(now, share)
	}
}
