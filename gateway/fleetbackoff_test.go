package gateway

import (
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

const (
	simulatedBackoff  = time.Second             // Retry-After of each refusal
	simulatedShedTime = 1500 * time.Millisecond // how long engines refuse all requests, from the onset
	simulatedSlice    = 100 * time.Millisecond
)

// A shedding is a third of the engines of a simulated fleet that refuse all requests for a time with a
// Retry-After, and the requests that they receive.
type shedding struct {
	began, ended time.Time
	backoff      time.Duration
	ids          map[ryeford.EndpointID]bool
	// backoffEnds are the ends of each engine's back-off at each router.
	backoffEnds   map[*simulatedRouter]map[ryeford.EndpointID]time.Time
	duringBackoff int // requests during a back-off, later than half of simulatedResponseDelay after its start
	refused       int
	arrivals      map[ryeford.EndpointID]map[time.Duration]int // requests in each slice after the shedding ended
	recovered     map[ryeford.EndpointID]time.Time             // when an engine first had its share of the load again
}

// shed makes a third of the engines refuse all requests from the onset.
func (f *simulatedFleet) shed(length, backoff time.Duration) *shedding {
	s := &shedding{
		began: f.began.Add(simulatedWarmUp), ended: f.began.Add(simulatedWarmUp + length), backoff: backoff,
		ids:         make(map[ryeford.EndpointID]bool),
		backoffEnds: make(map[*simulatedRouter]map[ryeford.EndpointID]time.Time),
		arrivals:    make(map[ryeford.EndpointID]map[time.Duration]int),
		recovered:   make(map[ryeford.EndpointID]time.Time),
	}
	for i, id := range f.ids {
		if i%3 == 0 {
			s.ids[id], s.arrivals[id] = true, make(map[time.Duration]int)
		}
	}
	for _, r := range f.routers {
		s.backoffEnds[r] = make(map[ryeford.EndpointID]time.Time)
	}
	f.shedding = s
	return s
}

// receive counts a request at an engine and reports whether it is refused.
func (s *shedding) receive(f *simulatedFleet, now time.Time, r *simulatedRouter, id ryeford.EndpointID) bool {
	if s == nil || !s.ids[id] || now.Before(s.began) {
		return false
	}
	if end := s.backoffEnds[r][id]; now.Before(end) && now.After(end.Add(simulatedResponseDelay/2-s.backoff)) {
		s.duringBackoff++
	}
	if now.Before(s.ended) {
		s.refused++
		s.backoffEnds[r][id] = now.Add(s.backoff)
		f.schedule(now.Add(simulatedDelay), func(now time.Time) { r.backoffs.Start(now, id, s.backoff) })
		return true
	}
	s.arrivals[id][now.Sub(s.ended)/simulatedSlice]++
	if _, known := s.recovered[id]; !known && float64(f.load[id]) >= 0.8*f.mean() {
		s.recovered[id] = now
	}
	return false
}

// maxArrivals returns the maximum number of requests of an engine in a slice after the shedding ended.
func (s *shedding) maxArrivals() int {
	arrivals := 0
	for _, slices := range s.arrivals {
		for _, n := range slices {
			arrivals = max(arrivals, n)
		}
	}
	return arrivals
}

// recoveryTime returns how long after the shedding half of the engines had their share of the load again,
// or -1 if they didn't.
func (s *shedding) recoveryTime() time.Duration {
	times := slices.SortedFunc(maps.Values(s.recovered), time.Time.Compare)
	if len(times) < (len(s.ids)+1)/2 {
		return -1
	}
	return times[(len(s.ids)-1)/2].Sub(s.ended)
}

// largeFleetsVariable is the environment variable that enables simulations of 390 routers, which take
// minutes with the race detector.
const largeFleetsVariable = "RYEFORD_LARGE_FLEETS"

// fleetSizes returns the numbers of routers for which fleets are simulated.
func fleetSizes() []int {
	sizes := []int{4, 27, 103}
	if os.Getenv(largeFleetsVariable) != "" {
		sizes = append(sizes, 390)
	}
	return sizes
}

// maxBurst is how many requests of all routers an engine may receive in 100 ms after its back-off: the
// fraction of its slots that the load bound allows at the mean load.
const maxBurst = simulatedSlots / 4

// TestFleetBackoff guards against requests to engines that are backing off, and against a burst of requests
// when the back-off ends, for fleets of several sizes.
func TestFleetBackoff(t *testing.T) {
	t.Parallel()
	for _, routers := range fleetSizes() {
		f := newSimulatedFleet(routers, 0, 1)
		s := f.shed(simulatedShedTime, simulatedBackoff)
		f.run(simulatedWarmUp + simulatedShedTime + 2500*time.Millisecond)
		share := simulatedRate / simulatedEngines * simulatedSlice.Seconds()
		t.Logf("%3d routers: %d of %d requests refused, %d during a back-off, at most %d in 100 ms at an engine (its share is %.1f), half have their share again after %s",
			routers, s.refused, f.sent, s.duringBackoff, s.maxArrivals(), share, s.recoveryTime())
		assert.Check(t, s.duringBackoff == 0)
		assert.Check(t, s.maxArrivals() <= maxBurst)
	}
}
