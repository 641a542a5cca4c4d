package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// leavingEngines are a third of the engines of a simulated fleet, which report in their responses
// that they are leaving while the list has them as ready.
type leavingEngines struct {
	began time.Time
	ids   map[ryeford.EndpointID]bool
	late  int           // requests that arrived more than half a second after the engines had started to report it
	last  time.Duration // when the last request arrived, since began
}

// leave makes a third of the engines report that they are leaving once the warm-up has ended.
func (f *simulatedFleet) leave() *leavingEngines {
	l := &leavingEngines{began: f.began.Add(simulatedWarmUp), ids: make(map[ryeford.EndpointID]bool)}
	for i, id := range f.ids {
		if i%3 == 0 {
			l.ids[id] = true
		}
	}
	f.leavingEngines = l
	return l
}

// observe counts a request at an engine whose response reports that it is leaving.
func (l *leavingEngines) observe(f *simulatedFleet, now time.Time, r *simulatedRouter, id ryeford.EndpointID) {
	if l == nil || !l.ids[id] || now.Before(l.began) {
		return
	}
	l.last = now.Sub(l.began)
	if l.last > 500*time.Millisecond {
		l.late++
	}
	f.schedule(now.Add(simulatedResponseDelay), func(now time.Time) { r.roster.MarkLeaving(now, id) })
}

// TestFleetLeaving simulates fleets of several sizes in which a third of the engines leave during an
// outage of the store. It bounds the share of requests that reach them more than half a second after
// they have started to report it.
func TestFleetLeaving(t *testing.T) {
	t.Parallel()
	maxLate := map[int]float64{4: 0.02, 27: 0.04, 103: 0.04, 390: 0.2} // maximum share of the requests, by number of routers
	for _, routers := range fleetSizes() {
		f := newSimulatedFleet(routers, 0, 1)
		l := f.leave()
		duration := simulatedWarmUp + 2500*time.Millisecond
		f.run(duration)
		sent := 0
		for _, r := range f.routers {
			sent += r.sent
		}
		t.Logf("%3d routers: %d of %d requests late at %d leaving engines, the last after %s, %.0f bytes per second and router",
			routers, l.late, f.sent, len(l.ids), l.last, float64(sent)/duration.Seconds()/float64(routers))
		assert.Check(t, float64(l.late) < maxLate[routers]*float64(f.sent))
	}
}
