package soak

import (
	"encoding/base64"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargeConfiguration checks that a configuration of thousands of routes takes effect
// at each gateway, also where reading it takes longer than routing.store_timeout because
// the link to the store is narrow. It fails if a gateway never serves by it. How long it
// takes is up to the check "configuration" of the soak: this test waits for
// conditionTimeout.
func TestLargeConfiguration(t *testing.T) {
	f := newFleet(t, &seriesPlan, 2)
	in := newInjector(f, &seriesPlan)
	in.toggleUnusedRoutes(nil, 0)
	next := in.changes[len(in.changes)-1]
	answer := base64.StdEncoding.EncodedLen(len(next.content()))
	reading := time.Duration(answer)*time.Second/slowLinkRate - linkBurst
	assert.Assert(t, reading > seriesPlan.bounds.storeTimeout, "it is not large: reading it takes %s", reading)
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for i, g := range f.gateways {
		served := f.waitFor(func() bool {
			c := call{id: probeID(i), route: probeRoute(next.Version), gateway: i}
			f.send(client, &c)
			return c.status == http.StatusOK
		})
		if !served {
			t.Errorf("%s, whose link bears %d bytes a second (0: any), does not serve by version %d", g.name, g.linkRate, next.Version)
		}
	}
}
