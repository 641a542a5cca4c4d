package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/ryeford/ryeford/standin/appserver"
)

// allSeriesFaults are the faults of seriesPlan. A seed draws from them by index, so rows
// keep their order and new ones come last.
var allSeriesFaults = []fault{
	{"stop", "SIGTERM to a gateway; it is restarted", affectsNone, affectsGateway, (*injector).stop},
	{"signals in a drain", "SIGTERM to a gateway, then more SIGTERMs and SIGHUPs until it has ended", affectsNone, affectsGateway, (*injector).signalsInDrain},
	{"stop of most", "SIGTERM to all gateways or all but one, within half a second", affectsNone, affectsAll, (*injector).stopMost},
	{"freeze in a drain", "SIGTERM to a gateway, which is then suspended for up to 1 s", affectsGateway, affectsGateway, (*injector).freezeInDrain},
	{"stop at a slow store", "SIGTERM to a gateway while the store is slow, silent or loses its responses", affectsNone, affectsAll, (*injector).stopAtSlowStore},
	{"changes in a drain", "SIGTERM to a gateway, and three changes of the configuration before it has ended", affectsNone, affectsGateway, (*injector).changesInDrain},
	{"kill", "kill a gateway; it is restarted", affectsGateway, affectsGateway, (*injector).kill},
	{"freeze", "SIGSTOP to a gateway, SIGCONT after up to 3 s", affectsGateway, affectsGateway, (*injector).freeze},
	{"hangups", "up to five SIGHUPs to a gateway", affectsNone, affectsNone, (*injector).hangups},
	{"link", "a gateway's link to the store is silent, blocked one way, slow or reset, up to 3 s", affectsNone, affectsGateway, (*injector).link},
	{"squeeze", "a gateway's link to the store is limited to a tenth of slowLinkRate, up to 3 s", affectsNone, affectsGateway, (*injector).narrowLink},
	{"store", "the store refuses, hangs, is slow or stale, or loses its responses or its history, up to 3 s", affectsNone, affectsAll, (*injector).seriesStore},
	{"configure", "the second client account's key is revoked or restored", affectsNone, affectsNone, (*injector).configure},
	{"large", "thousands of routes are added to the configuration or removed", affectsNone, affectsNone, (*injector).toggleUnusedRoutes},
	{"peers", "the gossip of a gateway is cut, lossy, late or duplicated, one way or both, up to 3 s", affectsNone, affectsNone, (*injector).impairGossip},
	{"slow server", "a server with streams of 3 s is listed for up to 1.5 s", affectsNone, affectsNone, (*injector).slowServer},
	{"server", "a server misbehaves for 1 to 20 requests, up to 1.5 s", affectsAll, affectsNone, (*injector).server},
	{"server hangs", "a server that is listed as ready runs each request without a response, up to 1.5 s", affectsNone, affectsNone, (*injector).serverHangs},
	{"server lies", "a server that is listed as ready refuses each request, up to 1.5 s", affectsNone, affectsNone, (*injector).serverRefuses},
	{"server vanishes", "a server resets each connection, and leaves the list only later", affectsAll, affectsNone, (*injector).serverVanishes},
	{"leave", "a server drains, in half of the cases deregisters, and is ready again", affectsNone, affectsNone, (*injector).leave},
}

// seriesFaults draws the faults of one run, each kind with an even chance, so that some
// runs lack the kinds that excuse many failures.
func seriesFaults(random *rand.Rand) []fault {
	var drawn []fault
	for _, kind := range allSeriesFaults {
		if random.IntN(2) == 0 {
			drawn = append(drawn, kind)
		}
	}
	if len(drawn) == 0 {
		return allSeriesFaults
	}
	return drawn
}

const (
	// maxSignalPause is the longest pause between two signals of a series.
	maxSignalPause = 400 * time.Millisecond
	// maxHangups is the maximum number of SIGHUPs of a series outside a drain.
	maxHangups = 5
	// drainChanges is the number of configuration changes during one drain.
	drainChanges = 3
	// maxDrainFreeze is the longest suspension during a drain.
	maxDrainFreeze = time.Second
	// unusedRoutes make the store's response some 600 kB long, whose transfer at
	// slowLinkRate takes longer than bounds.storeTimeout of seriesPlan.
	unusedRoutes = 3000
	// narrowedLinkRate is in bytes per second.
	narrowedLinkRate = slowLinkRate / 10
)

// signalsInDrain stops a gateway and sends it more SIGTERMs and SIGHUPs until it has ended.
func (in *injector) signalsInDrain(random *rand.Rand, gateway int) {
	in.stopWhile(gateway, func(p *process) {
		for !p.ended() {
			pause(random, maxSignalPause)
			p.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
		}
	})
}

// stopMost stops all gateways or, with an even chance, all but one.
func (in *injector) stopMost(random *rand.Rand, gateway int) {
	all := random.IntN(2) == 0
	for i := range in.fleet.gateways {
		if i == gateway && !all {
			continue
		}
		in.group.Go(func() { in.stop(nil, i) })
		pause(random, maxSignalPause/time.Duration(len(in.fleet.gateways)))
	}
	// The outage of all gateways lasts until the last stop ends.
	time.Sleep(in.fleet.bounds.grace)
}

// freezeInDrain stops a gateway and suspends it during its drain.
func (in *injector) freezeInDrain(random *rand.Rand, gateway int) {
	in.stopWhile(gateway, func(p *process) {
		pause(random, maxDrainFreeze)
		p.signal(syscall.SIGSTOP)
		pause(random, maxDrainFreeze)
		p.signal(syscall.SIGCONT)
	})
}

// stopAtSlowStore stops a gateway while the store responds late or not at all.
func (in *injector) stopAtSlowStore(random *rand.Rand, gateway int) {
	faults := []string{storeSlow, storeSilent, storeLosesResponses}
	in.post(faults[random.IntN(len(faults))])
	pause(random, maxSignalPause)
	in.stop(random, gateway)
	in.post(storeHealthy)
}

// changesInDrain stops a gateway and changes the configuration during its drain.
func (in *injector) changesInDrain(random *rand.Rand, gateway int) {
	in.stopWhile(gateway, func(*process) {
		for range drainChanges {
			in.configure(random, gateway)
			pause(random, maxSignalPause)
		}
	})
}

// hangups makes a gateway reload its settings several times.
func (in *injector) hangups(random *rand.Rand, gateway int) {
	for range 1 + random.IntN(maxHangups) {
		in.hangup(random, gateway)
		pause(random, maxSignalPause)
	}
}

// narrowLink reduces the rate of a gateway's link to the store.
func (in *injector) narrowLink(random *rand.Rand, gateway int) {
	g := in.fleet.gateways[gateway]
	g.store.link.set(narrowedLinkRate)
	pause(random, maxGatewayFault)
	g.store.link.set(g.linkRate)
}

// Emulator changes that set the fault of the store.
const (
	storeHealthy        = `{"store":{}}`
	storeSilent         = `{"store":{"silent":true}}`
	storeSlow           = `{"store":{"slow":150000000}}` // 150 ms
	storeStale          = `{"store":{"stale_reads":true}}`
	storeLosesResponses = `{"store":{"lose_answers":true}}`
)

// seriesStoreFaults are the store failures of seriesPlan.
var seriesStoreFaults = append([]string{storeStale, storeLosesResponses}, storeFaults...)

// seriesStore makes the store misbehave.
func (in *injector) seriesStore(random *rand.Rand, _ int) {
	in.post(seriesStoreFaults[random.IntN(len(seriesStoreFaults))])
	pause(random, maxStoreFault)
	in.post(storeHealthy)
}

// toggleUnusedRoutes adds thousands of routes to the configuration, or removes them.
func (in *injector) toggleUnusedRoutes(*rand.Rand, int) {
	in.changeConfiguration(func(next *configuration) {
		next.UnusedRoutes = unusedRoutes - next.UnusedRoutes
	})
}

// impairGossip impairs the gossip between a gateway and all others, in one direction or
// both.
func (in *injector) impairGossip(random *rand.Rand, gateway int) {
	fault := peerFaults[random.IntN(len(peerFaults))]
	directions := 1 + random.IntN(3) // bits: to it, from it
	in.logf("peers of %s: %s, directions %02b", in.fleet.gateways[gateway].name, fault.name, directions)
	in.setPeerLinks(gateway, directions, fault)
	pause(random, maxGatewayFault)
	in.setPeerLinks(gateway, directions, peerFault{})
}

// setPeerLinks sets the fault of all links of a gateway in the given directions.
func (in *injector) setPeerLinks(gateway, directions int, fault peerFault) {
	for other := range in.fleet.gateways {
		if directions&1 != 0 {
			in.fleet.peers.set(peerLink{from: other, to: gateway}, fault)
		}
		if directions&2 != 0 {
			in.fleet.peers.set(peerLink{from: gateway, to: other}, fault)
		}
	}
}

// slowServer lists the server with slow streams for some time.
func (in *injector) slowServer(random *rand.Rand, _ int) {
	in.setState(slowServer, stateReady)
	pause(random, maxServerFault)
	in.setState(slowServer, stateGone)
}

// serverHangs makes a server run requests without a response.
func (in *injector) serverHangs(random *rand.Rand, _ int) {
	in.serverFault(random, appserver.FaultHang)
}

// serverRefuses makes a server that is listed as ready refuse all requests.
func (in *injector) serverRefuses(random *rand.Rand, _ int) {
	in.serverFault(random, appserver.FaultShed)
}

// serverFault injects a fault into all requests of a server for some time.
func (in *injector) serverFault(random *rand.Rand, kind appserver.Fault) {
	id := servers[random.IntN(len(servers))]
	in.post(fmt.Sprintf(`{"server":%q,"fault":%q,"requests":-1}`, id, kind))
	pause(random, maxServerFault)
	in.post(fmt.Sprintf(`{"server":%q,"fault":"","requests":0}`, id))
}

// serverVanishes makes a server reset its connections, leave the list later, and become
// ready again.
func (in *injector) serverVanishes(random *rand.Rand, _ int) {
	id := servers[random.IntN(len(servers))]
	in.post(fmt.Sprintf(`{"server":%q,"fault":%q,"requests":-1}`, id, appserver.FaultReset))
	pause(random, maxServerFault)
	in.setState(id, stateGone)
	pause(random, maxServerFault)
	in.post(fmt.Sprintf(`{"server":%q,"fault":"","requests":0}`, id))
	in.setState(id, stateReady)
}
