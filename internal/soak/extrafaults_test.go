package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// extraFaults have a random generator of their own, so that other faults of a seed are
// drawn independently of them.
//
// The first three concern the clocks that gateways receive from others. A gateway's own
// wall clock can't be changed here; TestMonotonicClock, at the root of the module, checks that
// no decision depends on it.
var extraFaults = []fault{
	{"store clock rate", "the store's clock is up to 5 % too fast or too slow, up to 3 s", affectsNone, affectsNone, (*injector).storeClockRate},
	{"store clock step", "the store's clock is reset, 15 s or more forward or back", affectsNone, affectsNone, (*injector).storeClockStep},
	{"dates", "the store and the servers send a wrong Date in their responses, up to 3 s", affectsNone, affectsNone, (*injector).dates},
	{"store lags", "every second read of the store returns the state at the start of the fault, up to 3 s; the configuration changes meanwhile", affectsNone, affectsAll, (*injector).lagStore},
	{"long drain", "a server drains for 2 to 4 s, longer than drainBound, and is ready again", affectsNone, affectsNone, (*injector).longDrain},
}

const (
	// extraStream is the stream of a seed's random numbers for extraFaults.
	extraStream = 1 << 16
	// maxBetweenExtraFaults is the longest time between the starts of two extraFaults.
	maxBetweenExtraFaults = 2 * time.Second
	// maxClockError is the largest rate error of the store's clock. Over a whole run it
	// adds up to 0.3 s, less than the margin of 0.5 s that gateways keep at the end of a
	// lease.
	maxClockError = 0.05
	// firstClockStep is the first step of the store's clock in a run. It is longer than the
	// 10 s from which gateways treat the clock as reset.
	firstClockStep = 15 * time.Second
	// minLongDrain is the least time of a long drain, and maxLongDrain the most in
	// addition.
	minLongDrain = 2 * time.Second
	maxLongDrain = 2 * time.Second
	// maxDateError is the largest error of the Date header.
	maxDateError = 10 * 365 * 24 * time.Hour
)

// drawExtraFaults draws the extra faults of one run, each kind with an even chance.
func drawExtraFaults(random *rand.Rand) []fault {
	var drawn []fault
	for _, kind := range extraFaults {
		if random.IntN(2) == 0 {
			drawn = append(drawn, kind)
		}
	}
	return drawn
}

// storeClockRate makes the store's clock run too fast or too slow for some time.
func (in *injector) storeClockRate(random *rand.Rand, _ int) {
	in.post(fmt.Sprintf(`{"clock_rate":%.3f}`, 1+maxClockError*(2*random.Float64()-1)))
	pause(random, maxStoreFault)
	in.post(`{"clock_rate":1}`)
}

// storeClockStep makes the store's clock jump forward or back. Each step is twice as long
// as the one before, so that steps never add up to a short one, which no clock reset
// causes.
func (in *injector) storeClockStep(random *rand.Rand, _ int) {
	by := firstClockStep << (in.clockSteps.Add(1) - 1)
	if random.IntN(2) == 0 {
		by = -by
	}
	in.post(fmt.Sprintf(`{"clock_step":%d}`, by))
}

// dates makes all responses state a wrong date for some time.
func (in *injector) dates(random *rand.Rand, _ int) {
	wrong := time.Now().Add(time.Duration(random.Int64N(int64(2*maxDateError))) - maxDateError)
	in.post(fmt.Sprintf(`{"date":%q}`, wrong.UTC().Format(time.RFC1123)))
	pause(random, maxStoreFault)
	in.post(`{"date":""}`)
}

// lagStore makes the store answer every second read of a connection like a replica that
// receives no changes, for some time. The configuration changes at the beginning.
//
// The first read of a connection is never stale, as on the platform: a gateway that has
// just started could not detect that, and would accept a revoked key until its lease
// expires.
func (in *injector) lagStore(random *rand.Rand, gateway int) {
	in.post(`{"lagging":true}`)
	in.configure(random, gateway)
	pause(random, maxStoreFault)
	in.post(`{"lagging":false}`)
}

// longDrain makes a server drain for longer than drainBound, for checkDeparted.
func (in *injector) longDrain(random *rand.Rand, _ int) {
	id := servers[random.IntN(len(servers))]
	in.setState(id, stateDraining)
	time.Sleep(minLongDrain)
	pause(random, maxLongDrain)
	in.setState(id, stateReady)
}
