package gateway_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// TestNoConfiguration checks that a gateway without a configuration responds with 503, not with 401 or
// 404.
func TestNoConfiguration(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.awaitReady(false)
	f.awaitStatus(503, "GET", "/safe/a")
	got := f.call("GET", "/none/a")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestRequestBeforeInitialSync checks that a request that arrives before the configuration has been
// read is served once it has.
func TestRequestBeforeInitialSync(t *testing.T) {
	store := rowstore.New()
	store.SetFault(rowstore.Fault{Silent: true})
	f := newFixtureAt(t, store, baseConfiguration(), func(s *settings.Gateway) { s.Routing.StartTimeout = conditionTimeout })
	f.addEndpoint("plain", "p1", 0)
	f.awaitLog("dependency lost")
	time.AfterFunc(50*time.Millisecond, func() { store.SetFault(rowstore.Fault{}) })
	assert.Equal(t, f.call("GET", "/safe/a").status, 200)
}

// TestNewConfiguration checks that a change is in force once it has been read, and that an older
// version is never put back in force.
func TestNewConfiguration(t *testing.T) {
	f := startedFixture(t, nil)
	f.putConfiguration(keyRevoked())
	f.awaitStatus(401, "GET", "/safe/a")
	f.putConfiguration(baseConfiguration())
	f.awaitLog("version=1 heard=2 applied=false")
	assert.Equal(t, f.call("GET", "/safe/a").status, 401)
}

// TestStaleConfiguration checks that a gateway stops serving keys when the store does not answer,
// regardless of the fault, and that a key that was revoked meanwhile stays revoked.
func TestStaleConfiguration(t *testing.T) {
	for name, fault := range map[string]rowstore.Fault{
		"silent": {Silent: true}, "busy": {Status: 503}, "many": {Status: 429}, "slow": {Slow: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Revoke = 3 * time.Second })
			assert.Equal(t, f.call("GET", "/safe/a").status, 200)
			f.store.SetFault(fault)
			f.putConfiguration(keyRevoked())
			// A read that the store answered before the fault may still renew the lease of the old
			// configuration. After a failed read there is none left.
			f.awaitLog("dependency=configuration")
			f.awaitStatus(503, "GET", "/safe/a")
			// From here on the key must not work.
			assert.Equal(t, f.call("GET", "/safe/a").status, 503)
			assert.Equal(t, f.call("GET", "/none/a").status, 503)
			assert.Equal(t, f.do(f.request("GET", "/open/a", "", "")).status, 200)
			f.awaitReady(false)
			f.store.SetFault(rowstore.Fault{})
			f.awaitReady(true)
			assert.Equal(t, f.call("GET", "/safe/a").status, 401)
			assert.Equal(t, f.do(f.request("GET", "/safe/a", "key-2", "")).status, 200)
		})
	}
}

// TestSilentFeed checks that a gateway whose feed is silent during changes, and whose store then drops
// its history, reads the newest configuration.
func TestSilentFeed(t *testing.T) {
	f := startedFixture(t, nil)
	f.store.SetFault(rowstore.Fault{WithholdChanges: true})
	f.putConfiguration(keyRevoked())
	f.store.DropHistory()
	f.store.SetFault(rowstore.Fault{})
	f.awaitStatus(401, "GET", "/safe/a")
}

// TestStaleReads checks that a read that is older than an earlier answer of the store confirms
// nothing: a key that is revoked meanwhile stops working.
func TestStaleReads(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Revoke = 1200 * time.Millisecond })
	f.store.SetFault(rowstore.Fault{StaleReads: true})
	f.putConfiguration(keyRevoked())
	f.putEndpoint("plain", "p9", "127.0.0.1:1", wire.StateDraining) // the list's feed still works
	f.awaitLog("p9")
	f.awaitStatus(503, "GET", "/safe/a")
	f.store.SetFault(rowstore.Fault{})
	f.awaitStatus(401, "GET", "/safe/a")
}

// TestDrainingAndRemovedEndpoint checks that an endpoint that drains or has been removed gets no new
// requests.
func TestDrainingAndRemovedEndpoint(t *testing.T) {
	f := startedFixture(t, nil)
	f.putEndpoint("plain", "p1", "127.0.0.1:1", wire.StateDraining)
	f.awaitLog("draining=p1")
	before := len(f.endpoints["p1"].Received())
	for range 8 {
		assert.Equal(t, f.call("POST", "/once/a").status, 200)
	}
	assert.Equal(t, len(f.endpoints["p1"].Received()), before)
	f.store.Remove(wire.TableEndpoints, "p2")
	f.awaitStatus(503, "POST", "/once/a")
}

// TestListAfterDisruption checks that changes of the list of endpoints during a disruption of the
// store are in force after it, regardless of the fault.
func TestListAfterDisruption(t *testing.T) {
	for name, test := range map[string]struct {
		fault       rowstore.Fault
		dropHistory bool // the store loses its history during the fault
	}{
		"silent":    {fault: rowstore.Fault{Silent: true}},
		"reset":     {fault: rowstore.Fault{Reset: true}},
		"busy":      {fault: rowstore.Fault{Status: 503}},
		"slow":      {fault: rowstore.Fault{Slow: time.Second}},
		"stale":     {fault: rowstore.Fault{StaleReads: true, WithholdChanges: true}},
		"compacted": {fault: rowstore.Fault{WithholdChanges: true}, dropHistory: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startedFixture(t, nil)
			f.store.SetFault(test.fault)
			f.putEndpoint("plain", "p1", "127.0.0.1:1", wire.StateDraining)
			f.store.Remove(wire.TableEndpoints, "p2")
			p3 := f.addEndpoint("plain", "p3", 0)
			if test.dropHistory {
				f.store.DropHistory()
			}
			f.store.SetFault(rowstore.Fault{})
			f.await("a request at the new endpoint", func() bool {
				return f.call("POST", "/once/a").status == 200 && len(p3.Received()) > 0
			})
			f.await("the removal of p2", func() bool { // delayed if the disruption was long
				log := f.log.String()
				return strings.Contains(log, "departed=p2") || strings.Contains(log, "expired=p2")
			})
			before := len(f.endpoints["p1"].Received()) + len(f.endpoints["p2"].Received())
			for range 8 {
				assert.Equal(t, f.call("POST", "/once/a").status, 200)
			}
			assert.Equal(t, len(f.endpoints["p1"].Received())+len(f.endpoints["p2"].Received()), before)
		})
	}
}

// TestEntriesExpiredInOutage checks that endpoints whose entries expired during an outage of the store
// are suspect after it, and serve again once their entries are back.
func TestEntriesExpiredInOutage(t *testing.T) {
	f := startedFixture(t, nil)
	f.store.SetFault(rowstore.Fault{Reset: true})
	f.awaitLog("dependency=endpoints")
	time.Sleep(time.Second) // entries do not expire in a short outage
	f.store.Remove(wire.TableEndpoints, "p1")
	f.store.Remove(wire.TableEndpoints, "p2")
	f.store.SetFault(rowstore.Fault{})
	f.awaitLog("doubted=p1,p2")
	f.addEndpoint("plain", "p1", 0)
	f.awaitStatus(200, "POST", "/once/a")
}
