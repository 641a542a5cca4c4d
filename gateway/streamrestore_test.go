package gateway_test

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/streamversion"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// These tests guard against streams that can't be taken up after all routers were lost: which software version began
// them was known to the routers alone.

// startAfterLoss starts a gateway that knows nothing but what the platform holds, with the endpoints of another one. The
// others count as lost: it exchanges no gossip with them.
func startAfterLoss(t *testing.T, lost *fixture) *fixture {
	t.Helper()
	f := newFixtureAt(t, lost.store, nil, func(s *settings.Gateway) { s.VM = "restarted" })
	f.endpoints, f.addresses = lost.endpoints, lost.addresses
	f.awaitReady(true)
	f.awaitEndpoints(len(lost.endpoints))
	return f
}

// awaitVersion waits until a software version is in the store.
func awaitVersion(t *testing.T, store *rowstore.Store) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); store.Rows(tableVersions) == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "no row in table %s", tableVersions)
	}
}

// awaitStreamRecords waits until each of some streams is in the store. A gateway writes its streams in several steps.
func awaitStreamRecords(t *testing.T, store *rowstore.Store, ids ...string) {
	t.Helper()
	server := httptest.NewServer(store)
	defer server.Close()
	source := platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()), conditionTimeout)
	for deadline := time.Now().Add(conditionTimeout); ; time.Sleep(10 * time.Millisecond) {
		stored, err := source.BegunStreams(t.Context())
		assert.NilError(t, err)
		missing := slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
			key := streamversion.NewKey(ryeford.RequestID(id), "model", "bank")
			return slices.ContainsFunc(stored, func(b ryeford.BegunStream) bool { return b.Request == key.Request && b.Owner == key.Owner })
		})
		if len(missing) == 0 {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%v are not in the store", missing)
	}
}

// tableVersions is the table in which gateways keep software versions.
const tableVersions = "ryeford-versions"

// TestStreamsAfterLossOfAllRouters checks that streams of two versions go on at their own version after all routers were
// lost.
func TestStreamsAfterLossOfAllRouters(t *testing.T) {
	gateways := versionedPeers(t, 3, "v1", "v2")
	streams := make(map[string]string)
	for i := range 24 {
		id := "stream-" + strconv.Itoa(i)
		streams[id] = gateways[i%len(gateways)].breakOff(id)
	}
	awaitStreamRecords(t, gateways[0].store, slices.Collect(maps.Keys(streams))...)
	for _, f := range gateways {
		f.storeCutOff.Store(true) // nothing is recorded after the loss
	}
	restarted := startAfterLoss(t, gateways[0])
	wentOn := 0
	for id, stream := range streams {
		got := restarted.takeUp(1, id)
		assert.Assert(t, len(versionsOf(stream+got.body)) == 1, "events of two versions: %s", stream+got.body)
		if got.status == http.StatusOK && got.err == nil {
			wentOn++
		}
	}
	assert.Equal(t, wentOn, len(streams))
}

// TestStreamsOfOnlyVersionAfterLossOfAllRouters checks that streams go on after all routers were lost if the service has
// run one version, whether the caller names the request that began the stream or not.
func TestStreamsOfOnlyVersionAfterLossOfAllRouters(t *testing.T) {
	gateways := versionedPeers(t, 2, "v1")
	awaitVersion(t, gateways[0].store)
	stream := gateways[0].breakOff("stream")
	for _, f := range gateways {
		f.storeCutOff.Store(true)
	}
	restarted := startAfterLoss(t, gateways[0])
	for _, resumes := range []string{"", "stream"} {
		got := restarted.takeUp(1, resumes)
		assert.Equal(t, got.status, http.StatusOK, "resumes %q", resumes)
		assert.Equal(t, len(versionsOf(stream+got.body)), 1)
	}
}

// TestOtherVersionAfterLossOfAllRouters checks that the store's proof of one version is not used once another one is
// listed, and that a version that the store doesn't hold begins no stream while another one does.
func TestOtherVersionAfterLossOfAllRouters(t *testing.T) {
	gateways := versionedPeers(t, 2, "v1")
	awaitVersion(t, gateways[0].store)
	stream := gateways[0].breakOff("stream")
	for _, f := range gateways {
		f.storeCutOff.Store(true)
	}
	gateways[0].addVersion("v2-a", "v2")
	restarted := startAfterLoss(t, gateways[0])
	for range 12 {
		got := restarted.takeUp(1, "stream")
		assert.Assert(t, len(versionsOf(stream+got.body)) == 1, "events of two versions: %s", stream+got.body)
	}
}

// TestTakeUpWithoutStore checks that a stream that nobody knows is rejected at once while the store is away, and that it
// goes on once the store is back.
func TestTakeUpWithoutStore(t *testing.T) {
	gateways := versionedPeers(t, 1, "v1", "v2")
	stream := gateways[0].breakOff("stream")
	awaitStreamRecords(t, gateways[0].store, "stream")
	gateways[0].storeCutOff.Store(true)
	restarted := startAfterLoss(t, gateways[0])
	restarted.storeCutOff.Store(true)
	for range 3 {
		assert.Equal(t, restarted.takeUp(1, "stream").status, http.StatusServiceUnavailable)
	}
	restarted.storeCutOff.Store(false)
	restarted.await("the stream goes on", func() bool {
		got := restarted.takeUp(1, "stream")
		assert.Assert(t, len(versionsOf(stream+got.body)) == 1)
		return got.status == http.StatusOK
	})
}
