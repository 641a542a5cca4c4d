// Package occupancy decides when the endpoints of a service have no capacity left for another
// request, from the loads that they report with their responses.
//
// It owns the recent reports for each service and the number of this router's requests in flight.
// The caller passes the time and pairs Begin with End. The package does no I/O.
package occupancy

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/decay"
)

// Rule: a service is full if its endpoints have, by the mean of their recent reports, at least one
// request per slot. The mean is scaled by the growth of this router's requests since then. Around that
// load a share of further requests is rejected immediately.
//
// Why: beyond its slots an engine serves no request sooner, and waiting requests delay all others.
// The reports of a few endpoints represent all, and the growth of this router's requests represents
// that of its peers', so no reports from peers are needed: in a large fleet, routers exchange too few
// messages to cover the load of each endpoint.

const (
	// fullOccupancy is the mean number of requests, running and waiting, per slot at which a service is
	// full.
	fullOccupancy = 1.0
	// halfLife is the time after which the weight of a report has halved. It spans several reports
	// at a router of a large fleet, which receives some 24 a second in an overload.
	halfLife = 200 * time.Millisecond
	// minReportWeight is the minimum weight of the reports for a decision.
	minReportWeight = 2.0
	// shareRange is the range of the requests per slot, around fullOccupancy, in which the share of the requests
	// that may be admitted falls from one to zero.
	shareRange = 0.1
	// maxOccupancy limits the requests per slot of one report, so that an endpoint with invalid
	// reports can't make its service full. It is the occupancy of an endpoint with a full queue of
	// three times its slots.
	maxOccupancy = 4.0
)

// current returns the requests per slot of a service, with one further request. occupancy is the mean of the
// reports in requests per slot, localThen the mean number of this router's requests in flight at the time of the
// reports, and now the current number.
func current(occupancy, localThen float64, now int) float64 {
	if localThen <= 0 {
		return 0
	}
	return occupancy * float64(now+1) / localThen
}

// ShareAt returns the share of the requests that may be admitted at a number of requests per slot. It falls from one
// to zero around fullOccupancy, so that the less urgent requests give way before the others.
func ShareAt(occupancy float64) float64 {
	return min(1, max(0, 0.5+(fullOccupancy-occupancy)/shareRange))
}

// A Table holds the state of each service. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	services map[string]*service
}

// A service is the state of one service. Reports lose weight as they age.
type service struct {
	local         int // this router's requests in flight
	lastDecay     time.Time
	weight        float64 // sum of the reports' weights
	occupancy     float64 // weighted sum of the reported requests per slot
	localAtReport float64 // weighted sum of local at the time of each report
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
	t.get(name).local++
}

// End counts a request that has ended.
func (t *Table) End(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(name).local--
}

// Report records the load that an endpoint has reported. It does nothing if load is nil or if slots is
// zero, which means that the endpoint does not report them.
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
	s.localAtReport += float64(s.local)
}

// Full reports whether a service is full. It returns false if too few recent reports are known.
func (t *Table) Full(now time.Time, name string) bool {
	occupancy, known := t.Occupancy(now, name)
	return known && occupancy >= fullOccupancy
}

// Occupancy returns the requests per slot of a service, with one further request, and whether enough recent
// reports are known.
func (t *Table) Occupancy(now time.Time, name string) (occupancy float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return 0, false
	}
	s.decay(now)
	if s.weight < minReportWeight {
		return 0, false
	}
	return current(s.occupancy/s.weight, s.localAtReport/s.weight, s.local), true
}

// decay reduces the weight of the reports by the elapsed time.
func (s *service) decay(now time.Time) {
	factor := decay.Factor(now.Sub(s.lastDecay), halfLife)
	s.lastDecay = now
	s.weight *= factor
	s.occupancy *= factor
	s.localAtReport *= factor
}
