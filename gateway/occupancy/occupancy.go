// Package occupancy decides when the endpoints of a service have no place left for another
// request, by the loads that they report with their responses.
//
// It owns, for each service, what was reported lately and this router's requests under way.
// It relies on the caller's clock, and on the caller to pair Begin with End. It does no I/O.
package occupancy

import (
	"math"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// When a service is full.
//
// Rule: a service is full if its endpoints have, by the mean of what they reported lately, a
// request or more for each of their slots; the mean is scaled by how much this router's own
// requests have grown since. A request that comes then is rejected at once.
//
// Why: beyond its slots an engine serves nobody sooner, and what waits there makes everyone
// late. The reports of a few endpoints stand for all, and the growth of this router's own
// requests for that of its peers', so that a router needs no word of them: a large fleet
// exchanges too few messages to know each endpoint's load.

const (
	// fullAt is the mean number of requests, running and waiting, for each slot at which a
	// service is full.
	fullAt = 1.0
	// halfLife is the time after which a report weighs half: long enough for several reports
	// at a router of a large fleet, which gets some 24 a second in an overload.
	halfLife = 200 * time.Millisecond
	// minReports is the weight of reports from which they stand for all endpoints.
	minReports = 2.0
	// maxOccupancy is what one report counts for at most, in requests for each slot: an endpoint
	// that reports nonsense must not close its service. An engine of 48 slots and a
	// queue of 144 has 4 when its queue is full.
	maxOccupancy = 4.0
)

// full reports whether a service is full whose endpoints had so many requests for each slot
// when this router had then of its own under way, and now has now.
func full(occupancy, then float64, now int) bool {
	return then > 0 && occupancy*float64(now+1)/then >= fullAt
}

// A Table holds what is known of each service. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	services map[string]*service
}

// A service is what is known of one service. The sums' reports weigh less as they age.
type service struct {
	own       int // this router's requests under way
	decayed   time.Time
	weight    float64 // sum of the reports' weights
	occupancy float64 // sum of what was reported: requests for each slot
	ownThen   float64 // sum of own at the time of each report
}

// New returns a Table without services.
func New() *Table { return &Table{services: make(map[string]*service)} }

func (t *Table) get(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{}
		t.services[name] = s
	}
	return s
}

// Begin counts a request that is sent to an endpoint of a service.
func (t *Table) Begin(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).own++
}

// End counts a request that has ended.
func (t *Table) End(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).own--
}

// Report takes the load that an endpoint with so many slots has reported. It may be nil, and
// slots zero, if the endpoint says nothing of them.
func (t *Table) Report(now time.Time, name string, slots int, load *ryeford.EndpointLoad) {
	if load == nil || slots <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	s.decay(now)
	s.weight++
	s.occupancy += min(maxOccupancy, float64(load.Running+load.Waiting)/float64(slots))
	s.ownThen += float64(s.own)
}

// Full reports whether a service is full, as far as is known.
func (t *Table) Full(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return false
	}
	s.decay(now)
	if s.weight < minReports {
		return false
	}
	return full(s.occupancy/s.weight, s.ownThen/s.weight, s.own)
}

// decay lowers the weight of what was reported by the time that has passed since.
func (s *service) decay(now time.Time) {
	factor := math.Exp2(-now.Sub(s.decayed).Seconds() / halfLife.Seconds())
	s.decayed = now
	s.weight *= factor
	s.occupancy *= factor
	s.ownThen *= factor
}
