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
	simulatedBackOff  = time.Second             // that each refusal asks for
	simulatedShedTime = 1500 * time.Millisecond // for so long engines turn all away, from the onset on
	simulatedSlice = 100 * time.Millisecond
)

// shedding is a third of the engines of a simulated fleet that turn all away for a time and ask for rest, and
// what comes to them.
type shedding struct {
	began, ended time.Time
	backOff         time.Duration
	ids          map[ryeford.EndpointID]bool
	// backOffEnds are until when each engine has asked each router for rest.
	backOffEnds     map[*simulatedRouter]map[ryeford.EndpointID]time.Time
	duringBackOff   int // requests within a rest that came half a second after it was asked for, or later
	refused  int
	arrivals map[ryeford.EndpointID]map[time.Duration]int // in each slice after the sheds
	recovered     map[ryeford.EndpointID]time.Time             // since when an engine has its share again
}

// shed makes a third of the engines turn all away from the onset on.
func (f *simulatedFleet) shed(length, rest time.Duration) *shedding {
	s := &shedding{
		began: f.began.Add(simulatedWarmUp), ended: f.began.Add(simulatedWarmUp + length), backOff: rest,
		ids:      make(map[ryeford.EndpointID]bool),
		backOffEnds:     make(map[*simulatedRouter]map[ryeford.EndpointID]time.Time),
		arrivals: make(map[ryeford.EndpointID]map[time.Duration]int),
		recovered:     make(map[ryeford.EndpointID]time.Time),
	}
	for i, id := range f.ids {
		if i%3 == 0 {
			s.ids[id], s.arrivals[id] = true, make(map[time.Duration]int)
		}
	}
	for _, r := range f.routers {
		s.backOffEnds[r] = make(map[ryeford.EndpointID]time.Time)
	}
	f.shedding = s
	return s
}

// receive counts a request at an engine, and reports whether it is turned away.
func (s *shedding) receive(f *simulatedFleet, now time.Time, r *simulatedRouter, id ryeford.EndpointID) bool {
	if s == nil || !s.ids[id] || now.Before(s.began) {
		return false
	}
	if end := s.backOffEnds[r][id]; now.Before(end) && now.After(end.Add(simulatedFirst/2-s.backOff)) {
		s.duringBackOff++
	}
	if now.Before(s.ended) {
		s.refused++
		s.backOffEnds[r][id] = now.Add(s.backOff)
		f.at(now.Add(simulatedDelay), func(now time.Time) { r.rests.Ask(now, id, s.backOff) })
		return true
	}
	s.arrivals[id][now.Sub(s.ended)/simulatedSlice]++
	if _, known := s.recovered[id]; !known && float64(f.load[id]) >= 0.8*f.mean() {
		s.recovered[id] = now
	}
	return false
}

// maxArrivals returns the maxArrivals requests of any engine in a slice after the sheds.
func (s *shedding) maxArrivals() int {
	most := 0
	for _, slices := range s.arrivals {
		for _, n := range slices {
			most = max(most, n)
		}
	}
	return most
}

// recoveryTime returns how long after the sheds half of the engines have their share again.
func (s *shedding) recoveryTime() time.Duration {
	times := slices.SortedFunc(maps.Values(s.recovered), time.Time.Compare)
	if len(times) < (len(s.ids)+1)/2 {
		return -1
	}
	return times[(len(s.ids)-1)/2].Sub(s.ended)
}

// largeFleetsVariable, if it is set, has the fleets of 390 routers played too, which takes minutes with the
// race detector.
const largeFleetsVariable = "RYEFORD_LARGE_FLEETS"

// fleetSizes returns of how many routers fleets are played.
func fleetSizes() []int {
	sizes := []int{4, 27, 103}
	if os.Getenv(largeFleetsVariable) != "" {
		sizes = append(sizes, 390)
	}
	return sizes
}

// maxBurst is how many requests of all routers may reach an engine in 100 ms after its rest: the part of
// its slots that the load bound would let it have at once at the mean load.
const maxBurst = simulatedSlots / 4

// TestFleetRests plays a third of the engines turning all away and asking for rest, on fleets of several
// sizes: no request reaches an engine within a rest, and all that waited doesn't come to it in one burst. How
// many are refused, and how the engines get their share back, is printed. A first request as a trial after
// each rest, and rests that are longer by a drawn quarter, were played against that: see the page of decisions.
func TestFleetRests(t *testing.T) {
	t.Parallel()
	for _, routers := range fleetSizes() {
		f := newSimulatedFleet(routers, 0, 1)
		s := f.shed(simulatedShedTime, simulatedBackOff)
		f.run(simulatedWarmUp + simulatedShedTime + 2500*time.Millisecond)
		share := simulatedRate / simulatedEngines * simulatedSlice.Seconds()
		t.Logf("%3d routers: %d of %d requests refused, %d within a rest, at most %d in 100 ms at an engine (its share is %.1f), half have it again after %s",
			routers, s.refused, f.sent, s.duringBackOff, s.maxArrivals(), share, s.recoveryTime())
		assert.Check(t, s.duringBackOff == 0)
		assert.Check(t, s.maxArrivals() <= maxBurst)
	}
}
