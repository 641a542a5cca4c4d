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
	// contactStep is the time between two looks at what a contactFixture knows.
	contactStep = 10 * time.Millisecond
	// contactReserve is left of bounds.contact, beside a router's own waits, for the
	// answer of the store itself.
	contactReserve = 200 * time.Millisecond
	// largeTransfer is how long the configuration of incident inc1 takes at the least on
	// a narrow link.
	largeTransfer = 840 * time.Millisecond
	// largerTransfer is half of the time in which a change must be in force.
	largerTransfer = time.Second
)

// A contactFixture is what a router knows of the store, without a gateway and without
// peers: the configuration and the list of endpoints a, b and c.
type contactFixture struct {
	t             *testing.T
	settings      *settings.Gateway
	store         *troubledStore
	configuration *configuration
	endpoints     *endpointList
}

// newContactFixture starts one by the default settings, which ends with the test. delay
// and transfer are those of its store. It must be called in a bubble of synctest.
func newContactFixture(t *testing.T, delay, transfer time.Duration) *contactFixture {
	s := settings.DefaultGateway()
	f := &contactFixture{t: t, settings: s, store: newTroubledStore(s.Routing.StoreTimeout, "a", "b", "c")}
	f.store.delay, f.store.transfer = delay, transfer
	f.store.configure(1)
	f.endpoints = newEndpointList(s, f.store)
	f.configuration = newConfiguration(configurationOptions{
		source:   f.store,
		term:     freshness.Term(s.Bounds.Revoke),
		refresh:  s.RefreshConfiguration(),
		bound:    s.Bounds.Configuration,
		silence:  s.StoreSilence(),
		peers:    peers.New(netip.AddrPort{}, peers.DefaultLimits()),
		clock:    f.endpoints.clock,
		revision: f.endpoints.revision,
		onUpdate: func() {},
		log:      log.NewNopLogger(),
		metrics:  telemetry.NewSet(),
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

// play plays a trouble that begins after a time and has a length. In its middle all
// changes: the configuration, and endpoints that join, drain and leave. If busy is set,
// the configuration changes right before, too, and an endpoint writes its entry again, so
// that the router is reading or pauses.
func (f *contactFixture) play(trouble trouble, begins, length time.Duration, busy bool) {
	time.Sleep(begins)
	if busy {
		f.store.configure(2)
		f.store.put("a", ryeford.EndpointReady)
		synctest.Wait()
	}
	made := f.store.copied()
	f.store.set(trouble)
	time.Sleep(length / 2)
	f.change()
	time.Sleep(length / 2)
	if trouble == restored {
		f.store.restore(made)
		f.change() // what the restore has lost is written again at once
	}
	f.store.set(noTrouble)
}

// change changes all.
func (f *contactFixture) change() {
	f.store.configure(3)
	f.store.put("d", ryeford.EndpointReady)
	f.store.put("b", ryeford.EndpointDraining)
	f.store.remove("c")
}

// configured reports whether the new configuration is in force and may be relied on.
func (f *contactFixture) configured() bool {
	return f.configuration.version() == 3 && f.configuration.reliable(time.Now())
}

// listed reports whether the new list is in force, but for the endpoint that left: it
// may still be suspect.
func (f *contactFixture) listed() bool {
	r := f.endpoints.roster
	return r.Entry("a").Accepts() && !r.Entry("b").Accepts() && r.Entry("d").Accepts()
}

// follow looks at the router until it is held to its bounds again, and returns how long
// after now the configuration and the list were last not in force.
func (f *contactFixture) follow() (configuration, list time.Duration) {
	for began := time.Now(); time.Since(began) < f.settings.Bounds.Contact; time.Sleep(contactStep) {
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

// contactWaits are the bounds of a router's own waits after the end of a trouble, from
// the default settings (docs/platform.md has the sums).
type contactWaits struct {
	lostRead, lostPoll, pollWait, settle, readPause, nextRead, refresh time.Duration
}

// newContactWaits returns the bounds.
func newContactWaits() contactWaits {
	s := settings.DefaultGateway()
	return contactWaits{
		lostRead:  s.Routing.StoreTimeout,
		lostPoll:  listLimits(s).Hold + s.Routing.StoreTimeout,
		pollWait:  listLimits(s).Hold,
		settle:    s.SettleEndpoints(),
		readPause: freshness.PauseAfterRead(false, true),
		refresh:   s.RefreshConfiguration(),
		nextRead:  freshness.PauseAfterRead(true, true),
	}
}

// TestInForceAfterTrouble checks that what changed in a trouble of the store is in force
// at a router, by its own waits, within the bounds that docs/platform.md states, and that
// these are well within the time after which the router is held to all bounds. The
// trouble begins at each moment of the router's rounds of reads.
func TestInForceAfterTrouble(t *testing.T) {
	contact := settings.DefaultGateway().Bounds.Contact
	waits := newContactWaits()
	for _, test := range []struct {
		name                string
		trouble             trouble
		delay, transfer     time.Duration // of slow, and of a large configuration
		configuration, list time.Duration // bounds
	}{
		{"silent", silent, 0, 0, waits.lostRead + waits.readPause, waits.lostPoll + minFeedPause},
		{"resetting", resetting, 0, 0, waits.refresh, max(waits.settle, maxFeedPause)},
		{"slow, but answering", slow, 600 * time.Millisecond, 0, waits.refresh, waits.pollWait},
		{"too slow", slow, 5 * time.Second, 0, waits.lostRead + waits.readPause, waits.lostPoll + minFeedPause},
		{"stale", stale, 0, 0, waits.refresh, waits.pollWait + minFeedPause},
		{"restored", restored, 0, 0, waits.refresh, max(waits.settle, maxFeedPause)},
		{"restored, a large configuration", restored, 0, largeTransfer, waits.refresh + largeTransfer, max(waits.settle, maxFeedPause)},
		{"compacted", compacted, 0, 0, waits.refresh, waits.settle},
		{"silent, a large configuration", silent, 0, largeTransfer, waits.lostRead + waits.readPause + largeTransfer, waits.lostPoll + minFeedPause},
		{"stale, a large configuration", stale, 0, largeTransfer, max(waits.refresh, largeTransfer+waits.nextRead) + largeTransfer, waits.pollWait + minFeedPause},
		{"stale, a larger configuration", stale, 0, largerTransfer, max(waits.refresh, largerTransfer+waits.nextRead) + largerTransfer, waits.pollWait + minFeedPause},
	} {
		t.Run(test.name, func(t *testing.T) {
			var configuration, list time.Duration // the longest
			for _, length := range []time.Duration{20 * time.Millisecond, time.Second, 3 * time.Second, 7 * time.Second} {
				for phase := time.Duration(0); phase < waits.lostPoll; phase += 50 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						f := newContactFixture(t, test.delay, test.transfer)
						f.play(test.trouble, 10*time.Second+phase, length, phase%(100*time.Millisecond) == 0)
						c, l := f.follow()
						configuration, list = max(configuration, c), max(list, l)
						assert.Assert(t, !f.endpoints.roster.Entry("c").Accepts(), "%s in, for %s", phase, length)
					})
				}
			}
			t.Logf("configuration after %s, list after %s", configuration, list)
			assert.Check(t, configuration <= test.configuration, "%s", configuration)
			assert.Check(t, list <= test.list, "%s", list)
			assert.Check(t, max(test.configuration, test.list) <= contact-contactReserve)
		})
	}
}
