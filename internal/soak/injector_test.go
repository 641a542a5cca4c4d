package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxBetweenFaults is the longest time between the starts of two faults. Most faults last
// longer, so they overlap.
const maxBetweenFaults = 400 * time.Millisecond

// An injector injects faults into a fleet and records them for the checks.
type injector struct {
	fleet *fleet
	plan  *plan
	group sync.WaitGroup
	began time.Time
	// clockSteps counts the steps of the store's clock.
	clockSteps atomic.Int64

	restoring  sync.Mutex // held while the store is restored
	evacuating sync.Mutex // held while a failure domain is evacuated
	announcing sync.Mutex // held while a server announces that it is leaving
	backingOff sync.Mutex // held while servers ask for a back-off

	changingState sync.Mutex // held while a server's state is changed

	mu            sync.Mutex
	changes       []configurationChange
	interruptions []faultWindow
	outages       []faultWindow // when gateways were out of touch
	restores      []storeRestore
	stops         []stop
	// evacuations and announcements are recorded when they end.
	evacuations   []evacuation
	announcements []announcement
	stateChanges  []stateChange
	timeline      []string
}

// A stateChange is a change of a server's state in the list of endpoints. It took effect
// between sent and accepted.
type stateChange struct {
	server, state  string
	sent, accepted time.Time
	newIncarnation bool // the change starts another incarnation of the server
}

// A configurationChange is a change of the configuration. The first one is the initial
// configuration.
type configurationChange struct {
	configuration
	sent, accepted time.Time
}

// A faultWindow is a time in which a fault affected the calls through a gateway.
type faultWindow struct {
	gateway     int // index in the fleet, or allGateways
	from, until time.Time
}

// A stop is a planned stop of a gateway, from SIGTERM to the end of its process.
type stop struct {
	gateway         int
	signaled, ended time.Time
	lastReadyAt     *time.Time // when the last probe was sent that it answered as ready, or nil
	firstClosedAt   time.Time  // when it first closed a call without a response, or zero
	overdue         bool       // it exceeded its grace period and was killed
}

// allGateways as the gateway of a faultWindow means that all gateways were affected.
const allGateways = -1

// newInjector returns an injector that has injected no faults.
func newInjector(f *fleet, p *plan) *injector {
	return &injector{fleet: f, plan: p, began: time.Now(), changes: []configurationChange{{configuration: p.initial}}}
}

// run injects faults for faultTime, and waits until the last one has ended. The plan's
// faults are drawn from random, the other groups from streams of the seed.
func (in *injector) run(random *rand.Rand, seed uint64) {
	in.began = time.Now()
	in.group.Go(func() {
		extra := rand.New(rand.NewPCG(seed, extraStream))
		in.injectFaults(extra, drawExtraFaults(extra), maxBetweenExtraFaults)
	})
	in.group.Go(func() {
		in.injectFaults(rand.New(rand.NewPCG(seed, endpointStream)), endpointFaults, maxBetweenEndpointFaults)
	})
	in.group.Go(func() {
		in.injectFaults(rand.New(rand.NewPCG(seed, restoreStream)), restoreFaults, maxBetweenRestores)
	})
	in.group.Go(func() {
		in.injectFaults(rand.New(rand.NewPCG(seed, evacuationStream)), evacuationFaults, maxBetweenEvacuations)
	})
	in.group.Go(func() {
		in.injectFaults(rand.New(rand.NewPCG(seed, reportStream)), reportFaults, maxBetweenReportFaults)
	})
	in.injectFaults(random, in.plan.faults(random), maxBetweenFaults)
	in.group.Wait()
}

// injectFaults injects faults until faultTime has elapsed, with pauses below maxInterval.
func (in *injector) injectFaults(random *rand.Rand, faults []fault, maxInterval time.Duration) {
	for len(faults) > 0 && time.Since(in.began) < faultTime {
		drawn := faults[random.IntN(len(faults))]
		gateway := random.IntN(len(in.fleet.gateways))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
		in.logf("%s at %s", drawn.name, in.fleet.gateways[gateway].name)
		in.group.Go(func() { in.inject(&drawn, faultRandom, gateway) })
		pause(random, maxInterval)
	}
}

// inject injects one fault and records which gateways it affected.
func (in *injector) inject(f *fault, random *rand.Rand, gateway int) {
	from := time.Now()
	f.inject(in, random, gateway)
	switch f.mayInterrupt {
	case affectsGateway:
		in.addInterruption(gateway, from)
	case affectsAll:
		in.addInterruption(allGateways, from)
	case affectsNone:
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	switch f.disturbs {
	case affectsGateway:
		in.outages = append(in.outages, faultWindow{gateway: gateway, from: from, until: time.Now()})
	case affectsAll:
		in.outages = append(in.outages, faultWindow{gateway: allGateways, from: from, until: time.Now()})
	case affectsNone:
	}
}

// addInterruption records a window, until now, in which requests may have been interrupted.
func (in *injector) addInterruption(gateway int, from time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.interruptions = append(in.interruptions, faultWindow{gateway: gateway, from: from, until: time.Now()})
}

// addStop records a completed planned stop.
func (in *injector) addStop(s stop) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stops = append(in.stops, s)
}

// setState sets a server's state in the list of endpoints. State changes do not overlap.
func (in *injector) setState(server, state string) {
	in.applyState(server, state, serverState(server, state))
}

// applyState applies an emulator change after which the list has a server in a state.
func (in *injector) applyState(server, state, change string) {
	in.changingState.Lock()
	defer in.changingState.Unlock()
	next := stateChange{server: server, state: state, sent: time.Now(), newIncarnation: strings.Contains(change, `"born"`)}
	in.post(change)
	next.accepted = time.Now()
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stateChanges = append(in.stateChanges, next)
}

// newestVersion returns the newest accepted version of the configuration.
func (in *injector) newestVersion() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.changes[len(in.changes)-1].Version
}

// logf adds an entry to the timeline of the run.
func (in *injector) logf(format string, args ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.timeline = append(in.timeline, fmt.Sprintf("%6.3f ", time.Since(in.began).Seconds())+fmt.Sprintf(format, args...))
}

// pause sleeps for a random time below limit.
func pause(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

// post applies a change to the emulator and adds it to the timeline.
func (in *injector) post(change string) {
	in.logf("%s", change)
	if err := in.fleet.post(change); err != nil {
		in.fleet.t.Errorf("%s: %v", change, err)
	}
}

// clear removes all faults, including those that overlapping faults of one kind left
// behind.
func (in *injector) clear() {
	in.post(`{"store":{},"fault":"","requests":0,"clock_rate":1,"date":"","lagging":false,"rest":"","leaving":false}`)
	for _, id := range servers {
		in.setState(id, stateReady)
	}
	if in.plan.slowServer {
		in.setState(slowServer, stateGone)
	}
	in.fleet.peers.clear()
	for _, g := range in.fleet.gateways {
		g.store.set(proxyPass)
		g.store.link.set(g.linkRate)
		g.current().signal(syscall.SIGCONT)
	}
}
