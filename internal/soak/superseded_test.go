package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// supersededRoutes make a configuration whose transfer at slowLinkRate takes longer than
// bounds.configuration of seriesPlan.
const supersededRoutes = 4 * unusedRoutes

// TestSuperseded guards against a gateway that serves by a superseded configuration for
// longer than bounds.configuration because the newer one, of which a peer notified it, is
// too large to read in time over its link. It must then refuse requests until it serves by
// the newer one.
func TestSuperseded(t *testing.T) {
	f := newFleet(t, &seriesPlan, 2)
	f.eventually("both have a peer", f.peersAlive(1))
	in := newInjector(f, &seriesPlan)
	in.changeConfiguration(func(next *configuration) { next.UnusedRoutes = supersededRoutes })
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	refused, served := 0, false
	for limit := time.Now().Add(conditionTimeout); !served && time.Now().Before(limit); time.Sleep(conditionPollInterval) {
		for _, version := range []int{1, 2} {
			c := call{id: fmt.Sprintf("%s-%d", probeID(0), version), route: probeRoute(version), probedVersion: version}
			f.send(client, &c)
			if problem := checkConfiguration(&c, in.record(0)); problem != "" {
				t.Errorf("%s", problem)
			}
			if c.status == http.StatusServiceUnavailable {
				refused++
			}
			served = served || version == 2 && c.status == http.StatusOK
		}
	}
	assert.Assert(t, served, "the gateway never served by the newer version")
	assert.Assert(t, refused > 0, "the gateway read the newer version in time, so the test shows nothing")
}
