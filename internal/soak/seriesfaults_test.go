package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/ryeford/ryeford/standin/appserver"
)

// allSeriesFaults are the faults of seriesPlan. A seed draws from them by their index, so
// rows keep their order, and new ones come last.
var allSeriesFaults = []fault{
	{"stop", "SIGTERM to a gateway; it starts anew", affectsNone, affectsGateway, (*injector).stop},
	{"signals in a drain", "SIGTERM to a gateway, then more of them and SIGHUPs until it has ended", affectsNone, affectsGateway, (*injector).signalsInDrain},
	{"stop of most", "SIGTERM to all gateways but perhaps one, within half a second", affectsNone, affectsAll, (*injector).stopMost},
	{"freeze in a drain", "SIGTERM to a gateway, which is then frozen for up to 1 s", affectsGateway, affectsGateway, (*injector).freezeInDrain},
	{"stop at a slow store", "SIGTERM to a gateway while the store is slow, silent or loses its answers", affectsNone, affectsAll, (*injector).stopAtSlowStore},
	{"changes in a drain", "SIGTERM to a gateway, and three changes of the configuration before it has ended", affectsNone, affectsGateway, (*injector).changesInDrain},
	{"kill", "kill a gateway; it starts anew", affectsGateway, affectsGateway, (*injector).kill},
	{"freeze", "SIGSTOP to a gateway, SIGCONT after up to 3 s", affectsGateway, affectsGateway, (*injector).freeze},
	{"hangups", "up to five SIGHUPs to a gateway", affectsNone, affectsNone, (*injector).hangups},
	{"link", "a gateway's way to the store silent, mute one way, slow or reset, up to 3 s", affectsNone, affectsGateway, (*injector).link},
	{"squeeze", "a gateway's way to the store bears a tenth, up to 3 s", affectsNone, affectsGateway, (*injector).narrowLink},
	{"store", "the store refuses, hangs, is slow, stale, loses its answers or its history, up to 3 s", affectsNone, affectsAll, (*injector).seriesStore},
	{"configure", "the second account's key is revoked, or valid again", affectsNone, affectsNone, (*injector).configure},
	{"large", "the configuration has thousands of routes more, or less", affectsNone, affectsNone, (*injector).toggleUnusedRoutes},
	{"peers", "the gossip of a gateway is cut, lossy, late or doubled, one way or both, up to 3 s", affectsNone, affectsNone, (*injector).impairGossip},
	{"slow server", "a server with streams of 3 s is in the list for up to 1.5 s", affectsNone, affectsNone, (*injector).slowServer},
	{"server", "a server misbehaves for 1 to 20 requests, up to 1.5 s", affectsAll, affectsNone, (*injector).server},
	{"server hangs", "a server that is in the list as ready runs each request and answers none, up to 1.5 s", affectsNone, affectsNone, (*injector).serverHangs},
	{"server lies", "a server that is in the list as ready refuses each request, up to 1.5 s", affectsNone, affectsNone, (*injector).serverRefuses},
	{"server vanishes", "a server resets each connection, and leaves the list only later", affectsAll, affectsNone, (*injector).serverVanishes},
	{"leave", "a server drains, is perhaps gone, and is back", affectsNone, affectsNone, (*injector).leave},
}

// seriesFaults draws the faults of one run: each kind with an even chance, so that some
// runs are without the kinds that excuse much.
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
	// maxSignalPause is the longest time between two signals of a series.
	maxSignalPause = 400 * time.Millisecond
	// maxHangups is the most SIGHUPs of a series outside of a drain.
	maxHangups = 5
	// drainChanges is how many changes of the configuration come in one drain.
	drainChanges = 3
	// maxDrainFreeze is the longest freeze in a drain.
	maxDrainFreeze = time.Second
	// unusedRoutes make a configuration of some 600 kB in the store's answer, which takes
	// slowLinkRate longer than bounds.storeTimeout of seriesPlan.
	unusedRoutes = 3000
	// narrowedLinkRate is a tenth of slowLinkRate, in bytes a second.
	narrowedLinkRate = slowLinkRate / 10
)

// signalsInDrain stops a gateway, which gets more signals of the kind, and hangups, until
// it has ended.
func (in *injector) signalsInDrain(random *rand.Rand, gateway int) {
	in.stopWhile(gateway, func(p *process) {
		for !p.ended() {
			pause(random, maxSignalPause)
			p.signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
		}
	})
}

// stopMost stops all gateways but perhaps one.
func (in *injector) stopMost(random *rand.Rand, gateway int) {
	all := random.IntN(2) == 0
	for i := range in.fleet.gateways {
		if i == gateway && !all {
			continue
		}
		in.group.Go(func() { in.stop(nil, i) })
		pause(random, maxSignalPause/time.Duration(len(in.fleet.gateways)))
	}
	// The outage of all ends with the last of them.
	time.Sleep(in.fleet.bounds.grace)
}

// freezeInDrain stops a gateway and freezes it meanwhile.
func (in *injector) freezeInDrain(random *rand.Rand, gateway int) {
	in.stopWhile(gateway, func(p *process) {
		pause(random, maxDrainFreeze)
		p.signal(syscall.SIGSTOP)
		pause(random, maxDrainFreeze)
		p.signal(syscall.SIGCONT)
	})
}

// stopAtSlowStore stops a gateway while the store gives it no answer, or only late.
func (in *injector) stopAtSlowStore(random *rand.Rand, gateway int) {
	faults := []string{storeSlow, storeSilent, storeLosing}
	in.post(faults[random.IntN(len(faults))])
	pause(random, maxSignalPause)
	in.stop(random, gateway)
	in.post(storeWorks)
}

// changesInDrain stops a gateway and changes the configuration meanwhile.
func (in *injector) changesInDrain(random *rand.Rand, gateway int) {
	in.stopWhile(gateway, func(*process) {
		for range drainChanges {
			in.configure(random, gateway)
			pause(random, maxSignalPause)
		}
	})
}

// hangups makes a gateway read its settings again, several times.
func (in *injector) hangups(random *rand.Rand, gateway int) {
	for range 1 + random.IntN(maxHangups) {
		in.hangup(random, gateway)
		pause(random, maxSignalPause)
	}
}

// squeeze narrows a gateway's link to the store.
func (in *injector) narrowLink(random *rand.Rand, gateway int) {
	g := in.fleet.gateways[gateway]
	g.store.link.set(narrowedLinkRate)
	pause(random, maxGatewayFault)
	g.store.link.set(g.linkRate)
}

// Changes of the emulator that set what is wrong with the store.
const (
	storeWorks  = `{"store":{}}`
	storeSilent = `{"store":{"silent":true}}`
	storeSlow   = `{"store":{"slow":150000000}}` // 150 ms
	storeStale  = `{"store":{"stale_reads":true}}`
	storeLosing = `{"store":{"lose_answers":true}}`
)

// seriesStoreFaults are what the store does wrong.
var seriesStoreFaults = append([]string{storeStale, storeLosing}, storeFaults...)

// seriesStore makes the store misbehave.
func (in *injector) seriesStore(random *rand.Rand, _ int) {
	in.post(seriesStoreFaults[random.IntN(len(seriesStoreFaults))])
	pause(random, maxStoreFault)
	in.post(storeWorks)
}

// large adds thousands of routes to the configuration, or takes them away.
func (in *injector) toggleUnusedRoutes(*rand.Rand, int) {
	in.changeConfiguration(func(next *configuration) {
		next.UnusedRoutes = unusedRoutes - next.UnusedRoutes
	})
}

// peers impairs the gossip between a gateway and each other one: to it, from it or both.
func (in *injector) impairGossip(random *rand.Rand, gateway int) {
	fault := peerFaults[random.IntN(len(peerFaults))]
	directions := 1 + random.IntN(3) // bits: to it, from it
	in.logf("peers of %s: %s, directions %02b", in.fleet.gateways[gateway].name, fault.name, directions)
	in.setPeerLinks(gateway, directions, fault)
	pause(random, maxGatewayFault)
	in.setPeerLinks(gateway, directions, peerFault{})
}

// setPeerLinks sets what is wrong with the links of a gateway.
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

// slowServer enters the server with slow streams into the list for some time.
func (in *injector) slowServer(random *rand.Rand, _ int) {
	in.setState(slowServer, stateReady)
	pause(random, maxServerFault)
	in.setState(slowServer, stateGone)
}

// serverHangs makes a server run requests without an answer.
func (in *injector) serverHangs(random *rand.Rand, _ int) {
	in.serverFault(random, appserver.FaultHang)
}

// serverRefuses makes a server refuse all requests although the list says that it is ready.
func (in *injector) serverRefuses(random *rand.Rand, _ int) {
	in.serverFault(random, appserver.FaultShed)
}

// serverFault makes a server misbehave at all requests for some time.
func (in *injector) serverFault(random *rand.Rand, kind appserver.Fault) {
	id := servers[random.IntN(len(servers))]
	in.post(fmt.Sprintf(`{"server":%q,"fault":%q,"requests":-1}`, id, kind))
	pause(random, maxServerFault)
	in.post(fmt.Sprintf(`{"server":%q,"fault":"","requests":0}`, id))
}

// serverVanishes makes a server reset its connections, leave the list later, and come
// back.
func (in *injector) serverVanishes(random *rand.Rand, _ int) {
	id := servers[random.IntN(len(servers))]
	in.post(fmt.Sprintf(`{"server":%q,"fault":%q,"requests":-1}`, id, appserver.FaultReset))
	pause(random, maxServerFault)
	in.setState(id, stateGone)
	pause(random, maxServerFault)
	in.post(fmt.Sprintf(`{"server":%q,"fault":"","requests":0}`, id))
	in.setState(id, stateReady)
}
