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
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// A gateway is a gateway that is restarted whenever its process has ended, as on the
// platform.
type gateway struct {
	name      string
	file      string // its settings
	callers   string // the address for callers
	readiness string // the address of the readiness probe
	store     *proxy
	linkRate  int // of its link to the store, in bytes per second; 0 means no limit
	peers     *peerEnd
	log       lockedBuffer

	mu          sync.Mutex
	process     *process
	ready       bool // at the last probe
	planned     bool // the test itself ended this process
	logOffset   int  // where the log of this process begins
	incarnation int  // number of its process, from 1
}

// addGateway starts a gateway, supervises it and probes its readiness.
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

// supervise restarts a gateway whenever its process has ended. An unexpected exit fails the
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
			f.t.Errorf("%s exited unexpectedly: %v", g.name, p.err)
		}
		if err := g.start(); err != nil {
			f.t.Errorf("%s: %v", g.name, err)
			return
		}
	}
}

// watchReadiness probes a gateway's readiness until the fleet is closed, as the load
// balancer does.
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
			if ready && g.current() == p && !p.ended() { // otherwise a later process may have responded
				p.lastReadyAt.Store(&sent)
			}
			g.mu.Lock()
			g.ready = ready
			g.mu.Unlock()
		}
	}
}

// probeReadiness probes the gateway's readiness once.
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

// current returns the gateway's current process.
func (g *gateway) current() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process
}

func (g *gateway) currentIncarnation() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// starting returns the gateway's process, or nil until its first line is in the log. Before
// that, the process may not handle signals yet and would be ended by one.
func (g *gateway) starting() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !strings.Contains(g.log.From(g.logOffset), "msg=starting") {
		return nil
	}
	return g.process
}

// end sends a signal that ends the gateway's process, and returns the process.
func (g *gateway) end(signal syscall.Signal) *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.planned = true
	g.process.signal(signal)
	return g.process
}
