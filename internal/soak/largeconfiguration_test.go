package soak

import (
	"encoding/base64"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargeConfiguration guards against a configuration of thousands of routes that never
// takes effect because reading it over a narrow link takes longer than
// routing.store_timeout. The soak's check "configuration" bounds how long it takes.
func TestLargeConfiguration(t *testing.T) {
	f := newFleet(t, &seriesPlan, 2)
	in := newInjector(f, &seriesPlan)
	in.toggleUnusedRoutes(nil, 0)
	next := in.changes[len(in.changes)-1]
	responseSize := base64.StdEncoding.EncodedLen(len(next.content()))
	readDuration := time.Duration(responseSize)*time.Second/slowLinkRate - linkBurst
	assert.Assert(t, readDuration > seriesPlan.bounds.storeTimeout, "the configuration is not large enough: reading it takes %s", readDuration)
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for i, g := range f.gateways {
		served := f.waitFor(func() bool {
			c := call{id: probeID(i), route: probeRoute(next.Version), gateway: i}
			f.send(client, &c)
			return c.status == http.StatusOK
		})
		if !served {
			t.Errorf("%s, whose link is limited to %d bytes per second (0: no limit), does not serve by version %d", g.name, g.linkRate, next.Version)
		}
	}
}
