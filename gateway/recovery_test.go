package gateway

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/settings"
)

const (
	// recoveryCheckInterval is the interval between checks of a recoveryFixture's state.
	recoveryCheckInterval = 10 * time.Millisecond
	// recoveryMargin is the part of bounds.contact that is reserved for the store's own answer.
	recoveryMargin = 200 * time.Millisecond
	// largeTransfer is the transfer time of a large configuration over a slow link.
	largeTransfer = 840 * time.Millisecond
	// largerTransfer is half of the time within which a change must be in force.
	largerTransfer = time.Second
)

// A recoveryFixture is the configuration and the list of endpoints a, b and c of a router without a
// gateway and without peers.
type recoveryFixture struct {
	t             *testing.T
	settings      *settings.Gateway
	store         *disruptedStore
	configuration *configuration
	endpoints     *endpointList
}

// newRecoveryFixture starts a recoveryFixture with the default settings, which stops with the test.
// delay and transfer are those of its store. It must be called in a synctest bubble.
func newRecoveryFixture(t *testing.T, delay, transfer time.Duration) *recoveryFixture {
	s := settings.DefaultGateway()
	f := &recoveryFixture{t: t, settings: s, store: newDisruptedStore(s.Routing.StoreTimeout, "a", "b", "c")}
	f.store.delay, f.store.transfer = delay, transfer
	f.store.configure(1)
	f.endpoints = newEndpointList(s, f.store)
	f.configuration = newConfiguration(configurationOptions{
		source:           f.store,
		term:             freshness.Term(s.Bounds.Revoke),
		refresh:          s.ConfigurationRefreshAge(),
		changeTimeout:    s.Bounds.Configuration,
		unreachableAfter: s.StoreUnreachableAfter(),
		peers:            peers.New(netip.AddrPort{}, peers.DefaultLimits()),
		clock:            f.endpoints.clock,
		revision:         f.endpoints.revision,
		onUpdate:         func() {},
		log:              log.NewNopLogger(),
		metrics:          telemetry.NewSet(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.endpoints.run(ctx) }()
	go func() { _ = f.endpoints.sweep(ctx) }()
	go func() { _ = f.configuration.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	return f
}

// injectDisruption injects a disruption that begins after a delay and lasts for a duration. In the
// middle of it, the configuration and the list change. If busy is set, both also change right before
// it, so that the router is reading or pausing when it begins.
func (f *recoveryFixture) injectDisruption(kind disruption, delay, duration time.Duration, busy bool) {
	time.Sleep(delay)
	if busy {
		f.store.configure(2)
		f.store.put("a", ryeford.EndpointReady)
		synctest.Wait()
	}
	backup := f.store.backup()
	f.store.setDisruption(kind)
	time.Sleep(duration / 2)
	f.change()
	time.Sleep(duration / 2)
	if kind == restored {
		f.store.restore(backup)
		f.change() // changes lost by the restore are written again immediately
	}
	f.store.setDisruption(noDisruption)
}

// change writes a new configuration, and endpoints that join, drain and leave.
func (f *recoveryFixture) change() {
	f.store.configure(3)
	f.store.put("d", ryeford.EndpointReady)
	f.store.put("b", ryeford.EndpointDraining)
	f.store.remove("c")
}

// configured reports whether the new configuration is in force and its lease is valid.
func (f *recoveryFixture) configured() bool {
	return f.configuration.version() == 3 && f.configuration.reliable(time.Now())
}

// listed reports whether the new list is in force. The endpoint that left is not checked: it may still
// be suspect.
func (f *recoveryFixture) listed() bool {
	r := f.endpoints.roster
	return r.Entry("a").Accepts() && !r.Entry("b").Accepts() && r.Entry("d").Accepts()
}

// measureRecovery observes the router for bounds.contact, and returns how long from now the old
// configuration and the old list were in force.
func (f *recoveryFixture) measureRecovery() (configuration, list time.Duration) {
	for began := time.Now(); time.Since(began) < f.settings.Bounds.Contact; time.Sleep(recoveryCheckInterval) {
		synctest.Wait()
		if !f.configured() {
			configuration = time.Since(began)
		}
		if !f.listed() {
			list = time.Since(began)
		}
	}
	synctest.Wait()
	return configuration, list
}

// recoveryWaits are the limits of a router's own waits after a disruption, from the default settings
// (see docs/platform.md).
type recoveryWaits struct {
	lostRead, lostPoll, pollWait, settle, readPause, nextRead, refresh time.Duration
}

func newRecoveryWaits() recoveryWaits {
	s := settings.DefaultGateway()
	return recoveryWaits{
		lostRead:  s.Routing.StoreTimeout,
		lostPoll:  listLimits(s).Hold + s.Routing.StoreTimeout,
		pollWait:  listLimits(s).Hold,
		settle:    s.EndpointsSettle(),
		readPause: freshness.PauseAfterRead(false, true),
		refresh:   s.ConfigurationRefreshAge(),
		nextRead:  freshness.PauseAfterRead(true, true),
	}
}

// TestRecoveryAfterDisruption checks that changes made during a disruption of the store are in force
// within the limits that docs/platform.md states, with a margin to bounds.contact. The disruption
// begins at every phase of the router's read cycle.
func TestRecoveryAfterDisruption(t *testing.T) {
	contact := settings.DefaultGateway().Bounds.Contact
	waits := newRecoveryWaits()
	for _, test := range []struct {
		name                string
		disruption          disruption
		delay, transfer     time.Duration // of slow, and of a large configuration
		configuration, list time.Duration // limits
	}{
		{"silent", silent, 0, 0, waits.lostRead + waits.readPause, waits.lostPoll + minRetryPause},
		{"resetting", resetting, 0, 0, waits.refresh, max(waits.settle, maxRetryPause)},
		{"slow, within the timeout", slow, 600 * time.Millisecond, 0, waits.refresh, waits.pollWait},
		{"slow, beyond the timeout", slow, 5 * time.Second, 0, waits.lostRead + waits.readPause, waits.lostPoll + minRetryPause},
		{"stale", stale, 0, 0, waits.refresh, waits.pollWait + minRetryPause},
		{"restored", restored, 0, 0, waits.refresh, max(waits.settle, maxRetryPause)},
		{"restored, a large configuration", restored, 0, largeTransfer, waits.refresh + largeTransfer, max(waits.settle, maxRetryPause)},
		{"compacted", compacted, 0, 0, waits.refresh, waits.settle},
		{"silent, a large configuration", silent, 0, largeTransfer, waits.lostRead + waits.readPause + largeTransfer, waits.lostPoll + minRetryPause},
		{"stale, a large configuration", stale, 0, largeTransfer, max(waits.refresh, largeTransfer+waits.nextRead) + largeTransfer, waits.pollWait + minRetryPause},
		{"stale, a larger configuration", stale, 0, largerTransfer, max(waits.refresh, largerTransfer+waits.nextRead) + largerTransfer, waits.pollWait + minRetryPause},
	} {
		t.Run(test.name, func(t *testing.T) {
			var configuration, list time.Duration // maximum
			for _, duration := range []time.Duration{20 * time.Millisecond, time.Second, 3 * time.Second, 7 * time.Second} {
				for phase := time.Duration(0); phase < waits.lostPoll; phase += 50 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						f := newRecoveryFixture(t, test.delay, test.transfer)
						f.injectDisruption(test.disruption, 10*time.Second+phase, duration, phase%(100*time.Millisecond) == 0)
						c, l := f.measureRecovery()
						configuration, list = max(configuration, c), max(list, l)
						assert.Assert(t, !f.endpoints.roster.Entry("c").Accepts(), "phase %s, duration %s", phase, duration)
					})
				}
			}
			t.Logf("configuration after %s, list after %s", configuration, list)
			assert.Check(t, configuration <= test.configuration, "%s", configuration)
			assert.Check(t, list <= test.list, "%s", list)
			assert.Check(t, max(test.configuration, test.list) <= contact-recoveryMargin)
		})
	}
}
