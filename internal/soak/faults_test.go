package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/ryeford/ryeford/standin/appserver"
)

// A fault is a kind of fault. It is active until inject returns.
type fault struct {
	name         string
	description  string
	mayInterrupt scope // the gateways through which requests may be interrupted although they ran
	disturbs     scope // the gateways that are out of touch during the fault
	inject       func(in *injector, random *rand.Rand, gateway int)
}

// A scope is the set of gateways that an effect of a fault concerns.
type scope int

const (
	affectsNone    scope = iota // no gateway
	affectsGateway              // the gateway at which the fault is injected
	affectsAll                  // all gateways
)

// basicFaults are the faults of basicPlan. A seed draws from them by index, so rows keep
// their order. Repeated rows make a fault more frequent.
var basicFaults = []fault{
	{"kill", "kill a gateway; it is restarted", affectsGateway, affectsGateway, (*injector).kill},
	{"stop", "SIGTERM to a gateway, a planned stop; it is restarted", affectsNone, affectsGateway, (*injector).stop},
	{"freeze", "SIGSTOP to a gateway, SIGCONT after up to 3 s", affectsGateway, affectsGateway, (*injector).freeze},
	{"hangup", "SIGHUP to a gateway, which reloads its settings", affectsNone, affectsNone, (*injector).hangup},
	{"link", "a gateway's link to the store is silent, blocked one way, slow or reset, up to 3 s", affectsNone, affectsGateway, (*injector).link},
	{"link", "the same", affectsNone, affectsGateway, (*injector).link},
	{"store", "the store refuses, hangs, is slow, sends no changes to feeds or drops its history, up to 3 s", affectsNone, affectsAll, (*injector).store},
	{"server", "a server misbehaves for 1 to 20 requests, up to 1.5 s", affectsAll, affectsNone, (*injector).server},
	{"server", "the same", affectsAll, affectsNone, (*injector).server},
	{"leave", "a server drains, in half of the cases deregisters, and is ready again", affectsNone, affectsNone, (*injector).leave},
	{"configure", "the second client account's key is revoked or restored", affectsNone, affectsNone, (*injector).configure},
	{"configure", "the same", affectsNone, affectsNone, (*injector).configure},
}

// Maximum durations of faults. Each fault draws its duration below them.
const (
	maxGatewayFault = 3 * time.Second // freezes and cut links may outlast the lease of basicPlan
	maxStoreFault   = 3 * time.Second
	maxServerFault  = 1500 * time.Millisecond
)

// kill kills a gateway.
func (in *injector) kill(_ *rand.Rand, gateway int) {
	<-in.fleet.gateways[gateway].end(syscall.SIGKILL).done
}

// stop stops a gateway as planned. A gateway that exceeds its grace period is killed, which
// may interrupt requests.
func (in *injector) stop(_ *rand.Rand, gateway int) {
	in.stopWhile(gateway, func(*process) {})
}

// stopWhile stops a gateway as planned while action runs with its process.
func (in *injector) stopWhile(gateway int, action func(p *process)) {
	p := in.fleet.gateways[gateway].end(syscall.SIGTERM)
	if p.ended() {
		return // the process had already ended and is not restarted yet
	}
	signaled, overdue := time.Now(), false
	var group sync.WaitGroup
	group.Go(func() { action(p) })
	select {
	case <-p.done:
	case <-time.After(in.fleet.bounds.grace):
		killed := time.Now()
		p.signal(syscall.SIGKILL)
		<-p.done
		in.addInterruption(gateway, killed)
		in.logf("%s exceeded its grace period and was killed", in.fleet.gateways[gateway].name)
		overdue = true
	}
	in.addStop(stop{gateway: gateway, signaled: signaled, ended: time.Now(), lastReadyAt: p.lastReadyAt.Load(), overdue: overdue})
	group.Wait()
}

// freeze suspends a gateway's process for some time.
func (in *injector) freeze(random *rand.Rand, gateway int) {
	p := in.fleet.gateways[gateway].current()
	p.signal(syscall.SIGSTOP)
	pause(random, maxGatewayFault)
	p.signal(syscall.SIGCONT)
}

// hangup makes a gateway reload its settings. A process that has not logged its first line
// is left alone, as it may not handle the signal yet.
func (in *injector) hangup(_ *rand.Rand, gateway int) {
	if p := in.fleet.gateways[gateway].starting(); p != nil {
		p.signal(syscall.SIGHUP)
	}
}

// link impairs the link between a gateway and the store.
func (in *injector) link(random *rand.Rand, gateway int) {
	toStore := in.fleet.gateways[gateway].store
	mode := proxyMode(1 + random.IntN(int(proxyModes)-1))
	in.logf("link of %s: %s", in.fleet.gateways[gateway].name, mode)
	toStore.set(mode)
	pause(random, maxGatewayFault)
	toStore.set(proxyPass)
}

// storeFaults are store failures, as changes of the emulator.
var storeFaults = []string{
	`{"store":{"status":503}}`,
	`{"store":{"status":429}}`,
	`{"store":{"silent":true}}`,
	`{"store":{"slow":150000000}}`, // 150 ms
	`{"store":{"deaf_feed":true}}`, // feeds receive no changes
	`{"forget_history":true}`,
}

// store makes the store misbehave.
func (in *injector) store(random *rand.Rand, _ int) {
	in.post(storeFaults[random.IntN(len(storeFaults))])
	pause(random, maxStoreFault)
	in.post(`{"store":{}}`)
}

// serverFaults are server failures.
var serverFaults = []appserver.Fault{
	appserver.FaultShed, appserver.FaultErrors, appserver.FaultBusy, appserver.FaultHang, appserver.FaultReset,
	appserver.FaultCut, appserver.FaultExtra, appserver.FaultUnsigned, appserver.FaultEncoded, appserver.FaultForeign,
	appserver.FaultGarbage, appserver.FaultUnframed,
}

// maxFaultyRequests is the maximum number of requests that one server fault affects.
const maxFaultyRequests = 20

// server makes a server misbehave for some requests.
func (in *injector) server(random *rand.Rand, _ int) {
	id := servers[random.IntN(len(servers))]
	kind := serverFaults[random.IntN(len(serverFaults))]
	in.post(fmt.Sprintf(`{"server":%q,"fault":%q,"requests":%d}`, id, kind, 1+random.IntN(maxFaultyRequests)))
	pause(random, maxServerFault)
	in.post(fmt.Sprintf(`{"server":%q,"fault":"","requests":0}`, id))
}

// leave makes a server drain, deregister in half of the cases, and become ready again.
func (in *injector) leave(random *rand.Rand, _ int) {
	id := servers[random.IntN(len(servers))]
	in.setState(id, stateDraining)
	pause(random, maxServerFault)
	if random.IntN(2) == 0 {
		in.setState(id, stateGone)
		pause(random, maxServerFault)
	}
	in.setState(id, stateReady)
}

// configure revokes the second client account's key, or restores it.
func (in *injector) configure(_ *rand.Rand, _ int) {
	in.changeConfiguration(func(next *configuration) { next.SecondKey = !next.SecondKey })
}

// changeConfiguration publishes the next version of the configuration. Changes do not
// overlap.
func (in *injector) changeConfiguration(edit func(next *configuration)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	next := configurationChange{configuration: in.changes[len(in.changes)-1].configuration}
	next.Version++
	edit(&next.configuration)
	next.sent = time.Now()
	content, err := json.Marshal(map[string]json.RawMessage{"configuration": json.RawMessage(next.content())})
	if err == nil {
		err = in.fleet.post(string(content))
	}
	if err != nil {
		in.fleet.t.Errorf("configure: %v", err)
	}
	next.accepted = time.Now()
	in.changes = append(in.changes, next)
}
