package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// supersededRoutes make a configuration that slowLinkRate does not carry within
// bounds.configuration of seriesPlan: 3.9 s for some 2.4 MB.
const supersededRoutes = 4 * unusedRoutes

// TestSuperseded checks that a gateway that can't read a newer configuration in time, since
// it is too large for its link, refuses requests rather than serve them by the old one, and
// serves by the newer one in the end. A peer with a wide link tells it that there is one. It
// fails if it serves by the old one later than bounds.configuration after the acceptance.
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
	assert.Assert(t, served, "it never serves by the newer version")
	assert.Assert(t, refused > 0, "it read the newer version in time, so that this shows nothing")
}
