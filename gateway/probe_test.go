package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/roster"
)

// TestProbes checks that readiness probes fail until the configuration and the list are known, and
// again after the shutdown signal; and that failed probes are counted only after the signal.
func TestProbes(t *testing.T) {
	h := &probeHandler{
		path:          "/ready",
		configuration: newConfiguration(configurationOptions{}),
		roster:        roster.New(),
		drain:         newDrain(8*time.Second, log.NewNopLogger()),
		log:           log.NewNopLogger(),
	}
	probe := func(path string) int {
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder.Code
	}
	assert.Equal(t, probe("/other"), http.StatusNotFound)
	assert.Equal(t, probe("/ready"), http.StatusServiceUnavailable)
	h.configuration.inForce.Put(catalog.New(&ryeford.Configuration{Version: 1}))
	assert.Equal(t, probe("/ready"), http.StatusServiceUnavailable)
	h.roster.Apply(time.Now(), &ryeford.EndpointUpdate{Snapshot: true, Revision: 1}, time.Time{})
	assert.Equal(t, probe("/ready"), http.StatusOK)
	assert.Equal(t, h.drain.failedProbes.Load(), int32(0))
	h.drain.stopping.Store(true)
	assert.Equal(t, probe("/ready"), http.StatusServiceUnavailable)
	assert.Equal(t, h.drain.failedProbes.Load(), int32(1))
}

// TestServesKeysInOutageLog checks that a router logs once when it starts to serve keys after its
// lease has ended, and not before it has a configuration with keys.
func TestServesKeysInOutageLog(t *testing.T) {
	var lines strings.Builder
	h := &probeHandler{
		path:          "/ready",
		configuration: newConfiguration(configurationOptions{serveKeysInOutage: true}),
		roster:        roster.New(),
		drain:         newDrain(8*time.Second, log.NewNopLogger()),
		log:           log.NewLogfmtLogger(&lines),
	}
	probe := func() { h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/ready", nil)) }
	probe()
	assert.Assert(t, !strings.Contains(lines.String(), "bridge_outage"), "no configuration yet")
	h.configuration.inForce.Put(catalog.New(&ryeford.Configuration{Version: 1, Accounts: []ryeford.AccountRule{}}))
	probe()
	probe()
	assert.Equal(t, strings.Count(lines.String(), "decision=bridge_outage serves=true"), 1)
}
