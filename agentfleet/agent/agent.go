// Package agent implements the agent process of an endpoint VM, through which all
// requests reach the VM's engines and services. It admits or refuses attempts, runs
// each attempt at most once, retains answers for callers that reconnect, and drains
// the VM.
//
// It owns the state of its VM: the load of each engine and service (backend), the
// admitted and the abandoned attempts, the recent answers, and the chats whose
// prefixes the engines are expected to hold. This state is lost when the process
// ends; routers detect that by the new incarnation.
//
// It relies on routers for the templates, the plan and the mean load, on package
// admission for the load limits, and on the engines to run an attempt once if it is
// sent once. The rules are listed in docs/decisions.md.
package agent

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/engine"
	"github.com/ryeford/ryeford/agentfleet/plan"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/internal/clock"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

// sweepInterval is the interval at which expired attempt records are removed. It only
// affects memory use.
const sweepInterval = time.Second

// An Agent runs the attempts that routers dispatch to one endpoint VM.
type Agent struct {
	settings    *settings.Agent
	incarnation ryeford.Incarnation
	tls         *tls.Config
	vms         ryeford.VMList
	log         log.Logger
	decisions   *decision.Log
	metrics     *telemetry.Set
	control     *transport.ControlLimiter
	listener    *transport.Listener

	backends      map[ryeford.EngineID]*backend
	attempts      *attempts
	offsets       clockOffsets
	templateCache *template.Cache
	plan          *plan.Tracker // the part for this VM

	leaving atomic.Bool
	leave   chan struct{} // closed when the agent starts leaving

	mu      sync.Mutex
	changed chan struct{}                // closed when the inventory changes next
	peers   map[*transport.Conn]struct{} // connected routers
}

// New returns an Agent that listens on its address. It does not contact its engines
// before Run.
func New(s *settings.Agent, tlsConfig *tls.Config, vms ryeford.VMList, logger log.Logger) (*Agent, error) {
	listener, err := transport.Listen(s.Listen.AddrPort, tlsConfig, &s.Transport)
	if err != nil {
		return nil, err
	}
	metrics := telemetry.NewSet()
	a := &Agent{
		settings:      s,
		incarnation:   ryeford.Incarnation(uuid.NewString()),
		tls:           tlsConfig,
		vms:           vms,
		log:           logger,
		decisions:     decision.NewLog(logger),
		metrics:       metrics,
		control:       transport.NewControlLimiter(s.Transport.ControlBytesPerSecond, metrics.AddGossipBytesSent),
		listener:      listener,
		backends:      make(map[ryeford.EngineID]*backend),
		attempts:      newAttempts(s.Limits.AnswerTTL, s.Limits.ClockSkew),
		templateCache: template.NewCache(),
		plan:          plan.NewTracker(),
		leave:         make(chan struct{}),
		changed:       make(chan struct{}),
		peers:         make(map[*transport.Conn]struct{}),
	}
	a.addBackends()
	metrics.Gauge("ryeford_revision", func() float64 { return float64(a.templateCache.Revision()) })
	return a, nil
}

// Run serves until the agent has drained. It starts leaving when ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	stopLeave := context.AfterFunc(ctx, func() { a.startLeaving("signal") })
	defer stopLeave()
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return a.accept(runCtx) })
	group.Go(func() error { return a.pollEngines(runCtx) })
	group.Go(func() error { return a.pollVMs(runCtx) })
	group.Go(func() error { return a.gossip(runCtx) })
	group.Go(func() error {
		return runPeriodically(runCtx, sweepInterval, func() { a.attempts.sweep(time.Now()) })
	})
	group.Go(func() error { return a.applyPlan(runCtx) })
	group.Go(func() error { return telemetry.Serve(runCtx, a.settings.Metrics.AddrPort, a.metrics) })
	group.Go(func() error {
		defer cancel()
		return a.drain(runCtx)
	})
	_ = a.log.Log("msg", "ready", "role", "agent", "address", a.listener.Address(), "incarnation", a.incarnation)
	err := group.Wait()
	_ = a.listener.Close() // the process ends, so an error has no consequence
	_ = a.log.Log("msg", "stopped", "role", "agent")
	return err
}

// startLeaving makes the agent refuse new attempts and starts draining. Only the first
// call has an effect.
func (a *Agent) startLeaving(reason string) {
	if !a.leaving.CompareAndSwap(false, true) {
		return
	}
	a.decisions.Record("", "decision", "leave", "reason", reason, "unfinished", a.attempts.countUnfinished())
	close(a.leave)
	a.inventoryChanged()
}

func (a *Agent) addBackends() {
	limits := admission.Limits{
		PoolFactor: a.settings.Limits.PoolFactor,
		Floor:      a.settings.Limits.Floor,
		Capacity:   a.settings.Limits.Capacity,
		ShareFrom:  a.settings.Limits.ShareFrom,
	}
	for _, s := range a.settings.Engines {
		b := newBackend(s.ID, limits, a.settings.Limits.Chats)
		b.engine = engine.New(s.Address.AddrPort)
		b.checksFences = s.ChecksFences
		a.addBackend(b)
	}
	for _, s := range a.settings.Services {
		b := newBackend(s.ID, limits, a.settings.Limits.Chats)
		b.service = engine.NewService(s.Address.AddrPort)
		b.serviceName = s.Name
		a.addBackend(b)
	}
}

func (a *Agent) addBackend(b *backend) {
	a.backends[b.id] = b
	a.metrics.Gauge(`ryeford_engine_load{engine="`+string(b.id)+`"}`, b.load)
}

// pollVMs polls the platform's list of VMs until ctx ends, and makes the agent leave
// once its VM is listed as leaving. An operator's Leave message takes effect sooner, but
// may be lost.
func (a *Agent) pollVMs(ctx context.Context) error {
	return runPeriodically(ctx, a.settings.Polls.VMList, func() {
		vms, err := a.vms.VMs(ctx)
		if err != nil {
			if ctx.Err() == nil {
				_ = a.log.Log("msg", "cannot read the platform's list of VMs; whether this VM is leaving is checked again at the next poll", "err", err)
			}
			return
		}
		for _, vm := range vms {
			if vm.ID == a.settings.VM && vm.State == ryeford.VMLeaving {
				a.startLeaving("list")
			}
		}
	})
}

// runPeriodically calls f after each interval until ctx ends, one call at a time. It
// always returns nil.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) error {
	ticks := time.Tick(interval)
	for {
		select {
		case <-ticks:
			f()
		case <-ctx.Done():
			return nil
		}
	}
}

const (
	// drainCheckInterval is the interval at which a leaving agent checks whether its
	// runs have ended.
	drainCheckInterval = 20 * time.Millisecond
	// drainGrace is how long a drained agent continues to answer. Dispatches that
	// arrive in this time are refused, which proves to the router that they did not run.
	drainGrace = time.Second
)

// drain waits until the agent starts leaving, from when on admit refuses dispatches.
// drain then waits for the runs to end, for at most the setting drain, exports the
// chats' KV caches, and returns after drainGrace. Runs that have not ended by then are
// lost.
func (a *Agent) drain(ctx context.Context) error {
	select {
	case <-a.leave:
	case <-ctx.Done():
		return nil
	}
	a.awaitIdle(ctx)
	a.exportCaches(ctx)
	clock.Sleep(ctx, drainGrace)
	a.decisions.Record("", "decision", "drained", "unfinished", a.attempts.countUnfinished())
	return nil
}

// awaitIdle waits until all runs have ended, for at most the setting drain.
func (a *Agent) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.Limits.Drain)
	defer cancel()
	for a.attempts.countUnfinished() > 0 {
		if !clock.Sleep(ctx, drainCheckInterval) {
			return
		}
	}
}
