package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/internal/freeport"
)

const (
	// probeInterval is how often a gateway's readiness is probed.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds one readiness probe.
	probeTimeout = time.Second
)

// A gateway is one gateway process, which starts anew whenever it has ended, as the
// platform does it.
type gateway struct {
	name      string
	file      string // of its settings
	callers   string // the address for callers
	readiness string // the address of its readiness
	store     *proxy
	linkRate  int // of its link to the store, in bytes a second; zero is no bound
	peers     *peerEnd
	log       lockedBuffer

	mu          sync.Mutex
	process     *process
	ready       bool // at the last probe
	planned     bool // the soak has ended this life of it
	logOffset   int  // where this life begins in the log
	incarnation int  // counts its processes, from 1
}

// addGateway starts one gateway, keeps it running and probes its readiness.
func (f *fleet) addGateway(i int, store string) {
	f.t.Helper()
	toStore, err := newProxy(store)
	assert.NilError(f.t, err)
	end, err := f.peers.add()
	assert.NilError(f.t, err)
	toStore.rewrite = end.rewriteRow
	g := &gateway{
		name:      fmt.Sprintf("gateway-%d", i),
		callers:   freeport.Next().String(),
		readiness: freeport.Next().String(),
		store:     toStore,
		peers:     end,
	}
	g.file = f.write(g.name+".yaml", fmt.Sprintf(
		"vm: %s\nregion: north\nfailure_domain: a\ncallers: %q\nreadiness: %q\nstore: %q\npeers: %q\n"+
			"routing: {endpoints_settle: 20ms, endpoints_wait: 300ms, lease_refresh: %s, store_timeout: %s, routers: 2}\n"+
			"bounds: {revoke: %s, contact: %s, configuration: %s, grace: %s}\n",
		g.name, g.callers, g.readiness, toStore.listener.Addr(), end.address, f.bounds.refresh, f.bounds.storeTimeout,
		f.bounds.revoke, f.bounds.contact, f.bounds.configuration, f.bounds.grace))
	if i%2 == 0 {
		g.linkRate = f.linkRate
		toStore.link.set(g.linkRate)
	}
	f.gateways = append(f.gateways, g)
	assert.NilError(f.t, g.start())
	f.group.Go(func() { f.supervise(g) })
	f.group.Go(func() { f.watchReadiness(g) })
}

// start starts the gateway's process.
func (g *gateway) start() error {
	logOffset := g.log.Len()
	g.mu.Lock()
	g.logOffset = logOffset
	g.mu.Unlock()
	process, err := start(&g.log, "gateway", "--settings", g.file)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process, g.planned = process, false
	g.incarnation++
	return err
}

// keep starts a gateway anew whenever it has ended. One that ends by itself fails the
// test.
func (f *fleet) supervise(g *gateway) {
	for {
		p := g.current()
		select {
		case <-f.stop:
			return
		case <-p.done:
		}
		g.mu.Lock()
		planned := g.planned
		g.mu.Unlock()
		if !planned {
			f.t.Errorf("%s has ended by itself: %v", g.name, p.err)
		}
		if err := g.start(); err != nil {
			f.t.Errorf("%s: %v", g.name, err)
			return
		}
	}
}

// probe probes a gateway's readiness until the fleet ends, as the load balancer does.
func (f *fleet) watchReadiness(g *gateway) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			p, sent := g.current(), time.Now()
			ready := g.probeReadiness()
			if ready && g.current() == p && !p.ended() { // else its successor may have answered
				p.readyAt.Store(&sent)
			}
			g.mu.Lock()
			g.ready = ready
			g.mu.Unlock()
		}
	}
}

// probeReadiness probes a gateway's readiness once.
func (g *gateway) probeReadiness() bool {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.readiness + "/ryeford/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isReady reports whether the gateway was ready at its last probe.
func (g *gateway) isReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready
}

// current returns the gateway's process.
func (g *gateway) current() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process
}

// currentIncarnation returns the number of the gateway's process.
func (g *gateway) currentIncarnation() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// starting returns the gateway's process once its first line is in the log, or nil
// before. Until then a signal may meet a process that has not begun to run the program,
// and end it (seed 901001575).
func (g *gateway) starting() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !strings.Contains(g.log.From(g.logOffset), "msg=starting") {
		return nil
	}
	return g.process
}

// end ends a gateway's process by a signal.
func (g *gateway) end(signal syscall.Signal) *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.planned = true
	g.process.signal(signal)
	return g.process
}
