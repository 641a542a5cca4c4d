package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford/gateway/readiness"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/clock"
)

// A probeHandler answers the load balancer's readiness probes.
type probeHandler struct {
	path          string
	configuration *configuration
	roster        *roster.Roster
	drain         *drain
	log           log.Logger

	wasReady      atomic.Bool // result of the last probe
	servedExpired atomic.Bool // at the last probe, keys were served after the lease had ended
}

// ServeHTTP implements http.Handler. It responds with 200 if the router is ready, and with 503 if it
// is not.
func (h *probeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != h.path {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	now := clock.Now()
	state := h.state(now)
	h.logServesExpired(state.RequiresKey && state.ServesKeys && !h.configuration.reliable(now))
	reason := readiness.Check(state)
	ready := reason == readiness.Ready
	if h.wasReady.Swap(ready) != ready {
		_ = h.log.Log("decision", "readiness", "ready", ready, "reason", reason, "lease", h.configuration.leaseRemaining(), "endpoints", h.roster.Len())
	}
	if ready {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	h.drain.countFailedProbe()
}

// state returns the state that determines readiness.
func (h *probeHandler) state(now time.Time) readiness.State {
	current := h.configuration.current()
	return readiness.State{
		Stopping:        h.drain.stopping.Load(),
		Configured:      current != nil,
		EndpointsLoaded: h.roster.Loaded(),
		RequiresKey:     current != nil && current.RequiresKey(),
		ServesKeys:      h.configuration.servesKeys(now),
		Superseded:      h.configuration.superseded(now),
	}
}

// logServesExpired logs when the router starts or stops serving keys after the lease has ended.
func (h *probeHandler) logServesExpired(servesExpired bool) {
	if h.servedExpired.Swap(servesExpired) != servesExpired {
		_ = h.log.Log("decision", "bridge_outage", "serves", servesExpired, "version", h.configuration.version(), "lease", h.configuration.leaseRemaining())
	}
}
