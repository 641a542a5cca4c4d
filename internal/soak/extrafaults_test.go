package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// extraFaults strike beside the others, from a generator of their own, so that the kept
// seeds draw the same others as before them.
//
// The first are clocks: all that a gateway is told of the time by others. Its own time of day
// can't be set here: that takes root, and the clock of the machine is everyone's.
// TestSteadyClock (at the root of the module) proves from the code that no decision depends
// on it. After a freeze a process finds that its steady clock has jumped.
var extraFaults = []fault{
	{"store clock rate", "the store's clock is up to 5 % too fast or too slow, up to 3 s", affectsNone, affectsNone, (*injector).storeClockRate},
	{"store clock step", "the store's clock starts anew, 15 s or more before or after", affectsNone, affectsNone, (*injector).storeClockStep},
	{"dates", "the store and the servers state another day in their answers, up to 3 s", affectsNone, affectsNone, (*injector).dates},
	{"store lags", "every second read of the store shows the state of the fault's beginning, up to 3 s; the configuration changes meanwhile", affectsNone, affectsAll, (*injector).lagStore},
	{"long drain", "a server drains for 2 to 4 s, longer than drainBound, and is back", affectsNone, affectsNone, (*injector).longDrain},
}

const (
	// extraStream is the stream of a seed's random numbers from which extraFaults are drawn.
	extraStream = 1 << 16
	// maxBetweenExtraFaults is the longest time between the beginnings of two extraFaults.
	maxBetweenExtraFaults = 2 * time.Second
	// maxClockError is by how much the store's clock is too fast or too slow. In the whole
	// of a run that makes 0.3 s, less than the margin of 0.5 s that gateways leave at the
	// end of a lease; the platform promises a steady clock.
	maxClockError = 0.05
	// firstClockStep is the first step of the store's clock in a run. It is longer than
	// the 10 s from which gateways take the clock for one that has started anew.
	firstClockStep = 15 * time.Second
	// minLongDrain is the least time of a long drain, and maxLongDrain the most beyond it.
	minLongDrain = 2 * time.Second
	maxLongDrain = 2 * time.Second
	// maxDateError is by how much the day that is stated may be wrong.
	maxDateError = 10 * 365 * 24 * time.Hour
)

// drawExtraFaults draws those of one run: each kind with an even chance.
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
// as the one before, so that no two of them come near to cancelling out: a short step is
// none that a steady clock takes, also if it starts anew.
func (in *injector) storeClockStep(random *rand.Rand, _ int) {
	by := firstClockStep << (in.clockSteps.Add(1) - 1)
	if random.IntN(2) == 0 {
		by = -by
	}
	in.post(fmt.Sprintf(`{"clock_step":%d}`, by))
}

// dates makes all answers state another day for some time.
func (in *injector) dates(random *rand.Rand, _ int) {
	wrong := time.Now().Add(time.Duration(random.Int64N(int64(2*maxDateError))) - maxDateError)
	in.post(fmt.Sprintf(`{"date":%q}`, wrong.UTC().Format(time.RFC1123)))
	pause(random, maxStoreFault)
	in.post(`{"date":""}`)
}

// lagStore makes the store answer every second read of a connection as a replica that
// gets no changes would, for some time. The configuration changes at the beginning of that.
//
// No connection begins with such an answer: from it a process that has just started could
// not tell that it is stale, and would serve a revoked key for as long as its lease (seed
// 104936069 of TestSoak). The platform's store never gives one.
func (in *injector) lagStore(random *rand.Rand, gateway int) {
	in.post(`{"lagging":true}`)
	in.configure(random, gateway)
	pause(random, maxStoreFault)
	in.post(`{"lagging":false}`)
}

// longDrain makes a server drain for so long that checkDeparted judges who still sends to it.
func (in *injector) longDrain(random *rand.Rand, _ int) {
	id := servers[random.IntN(len(servers))]
	in.setState(id, stateDraining)
	time.Sleep(minLongDrain)
	pause(random, maxLongDrain)
	in.setState(id, stateReady)
}
