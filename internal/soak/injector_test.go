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

// maxBetweenFaults is the longest time between the beginnings of two faults. It is
// shorter than most faults last, so that they overlap.
const maxBetweenFaults = 400 * time.Millisecond

// An injector injects faults into a fleet and records what checks need to know of them.
type injector struct {
	fleet *fleet
	plan  *plan
	group sync.WaitGroup
	began time.Time
	// clockSteps counts the steps of the store's clock.
	clockSteps atomic.Int64

	restoring  sync.Mutex // held while the store is restored
	evacuating sync.Mutex // held while a failure domain is evacuated
	announcing sync.Mutex // held while a server says that it leaves
	backingOff sync.Mutex // held while servers ask for rest

	changingState sync.Mutex // held while a server's state is changed

	mu            sync.Mutex
	changes       []configurationChange
	interruptions []faultWindow
	outages       []faultWindow // times out of touch
	restores      []storeRestore
	stops         []stop
	// evacuations are those that are over.
	evacuations   []evacuation
	announcements []announcement // those that are over
	stateChanges  []stateChange  // of the servers
	timeline      []string
}

// A stateChange is what the list says of a server from a change on. The time lies between
// when the change was sent and when it was accepted.
type stateChange struct {
	server, state  string
	sent, accepted time.Time
	newIncarnation bool // another life of the server
}

// A change is one change of the configuration. The first is what the fleet started
// with.
type configurationChange struct {
	configuration
	sent, accepted time.Time
}

// A cut is a time in which requests could be cut off although they had run.
type faultWindow struct {
	gateway     int // through which they went, or allGateways
	from, until time.Time
}

// A stop is a planned stop of a gateway: when it got SIGTERM, and when its process had
// ended.
type stop struct {
	gateway         int
	signaled, ended time.Time
	readyAt         *time.Time // when the last probe was sent that it answered as ready, or nil
	firstClosedAt   time.Time  // when it closed the first call without an answer, or zero
	overdue         bool       // it had to be killed at the end of its grace period
}

// allGateways as a cut's gateway means that it was felt through each of them.
const allGateways = -1

// newInjector returns an injector that has injected nothing.
func newInjector(f *fleet, p *plan) *injector {
	return &injector{fleet: f, plan: p, began: time.Now(), changes: []configurationChange{{configuration: p.initial}}}
}

// run injects faults until faultTime is over, and waits until the last has ended. The
// plan's faults come from random, and extraFaults and endpointFaults from the seed.
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

// strike injects faults, at most some time apart, until faultTime is over.
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

// inject injects one fault and records what it may have cut off.
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

// addInterruption records that requests could be cut off until now.
func (in *injector) addInterruption(gateway int, from time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.interruptions = append(in.interruptions, faultWindow{gateway: gateway, from: from, until: time.Now()})
}

// addStop records a planned stop that has ended.
func (in *injector) addStop(s stop) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.stops = append(in.stops, s)
}

// enter sets what the list says of a server. Such changes are made one after the other.
func (in *injector) setState(server, state string) {
	in.applyState(server, state, serverState(server, state))
}

// applyState makes a change of the list after which it says that a server is in a state.
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

// newestVersion returns the newest version that was accepted.
func (in *injector) newestVersion() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.changes[len(in.changes)-1].Version
}

// logf adds a line to the timeline of the run.
func (in *injector) logf(format string, args ...any) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.timeline = append(in.timeline, fmt.Sprintf("%6.3f ", time.Since(in.began).Seconds())+fmt.Sprintf(format, args...))
}

// pause sleeps for a time below limit.
func pause(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

// post changes the emulator.
func (in *injector) post(change string) {
	in.logf("%s", change)
	if err := in.fleet.post(change); err != nil {
		in.fleet.t.Errorf("%s: %v", change, err)
	}
}

// clear ends what may still be wrong after faults of one kind have overlapped.
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
