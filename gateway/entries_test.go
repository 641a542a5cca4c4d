package gateway_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
)

// TestMalformedEntry checks that a malformed entry is not used, does not hide other entries, is logged
// once, and that the endpoint is used again once its entry is valid.
func TestMalformedEntry(t *testing.T) {
	f := startedFixture(t, nil)
	f.store.Put(wire.TableEndpoints, "p1", []byte(`{"service":"plain"}`))
	f.awaitLog("malformed=p1")
	f.awaitLog("departed=p1")
	f.store.Put(wire.TableEndpoints, "p1", []byte("\xff"))
	f.store.Put(wire.TableEndpoints, "stranger", []byte(`[]`))
	f.awaitLog("malformed=stranger")
	f.store.DropHistory() // forces a read of the full list
	before := len(f.endpoints["p1"].Received())
	for range 8 {
		assert.Equal(t, f.call("POST", "/once/a").status, 200)
	}
	assert.Equal(t, len(f.endpoints["p1"].Received()), before)
	assert.Equal(t, strings.Count(f.log.String(), "malformed=p1"), 1)
	p1 := f.addEndpoint("plain", "p1", 0)
	f.await("a request at p1", func() bool { return f.call("POST", "/once/a").status == 200 && len(p1.Received()) > 0 })
}

// TestEndpointIncarnations checks that an endpoint that restarts under its name is a new incarnation,
// which is sent requests under that name.
func TestEndpointIncarnations(t *testing.T) {
	f := startedFixture(t, nil)
	f.store.Remove(wire.TableEndpoints, "p2")
	f.awaitLog("departed=p2")
	for i, born := range []int64{1_700_000_000_000, 1_700_000_005_000, 1_600_000_000_000} {
		_, err := f.store.PutJSON(wire.TableEndpoints, "p1", wire.Endpoint{
			Service: "plain", Address: f.addresses["p1"], FailureDomain: "a", Slots: 64, State: wire.StateReady, Born: born,
		})
		assert.NilError(t, err)
		f.await("another incarnation", func() bool { return strings.Count(f.log.String(), "restarted=p1#") == i+1 })
		assert.Equal(t, f.call("POST", "/once/a").status, 200)
	}
}
