package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford/gateway/roster"
)

// A readiness answers the load balancer's readiness probes.
type readiness struct {
	path          string
	configuration *configuration
	roster        *roster.Roster
	drain         *drain
	log           log.Logger

	wasReady atomic.Bool
}

// ServeHTTP implements http.Handler: it answers 200 if the balancer may send new
// connections.
func (r *readiness) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != r.path {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	ready, why := r.check(time.Now())
	if r.wasReady.Swap(ready) != ready {
		_ = r.log.Log("decision", "readiness", "ready", ready, "reason", why, "lease", r.configuration.leaseLeft(), "endpoints", r.roster.Len())
	}
	if ready {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	if r.drain.leaving.Load() {
		r.drain.polls.Add(1)
	}
}

// check reports whether the gateway can serve, and why not.
func (r *readiness) check(now time.Time) (bool, string) {
	current := r.configuration.current()
	switch {
	case r.drain.leaving.Load():
		return false, "leaving"
	case current == nil:
		return false, "no_configuration"
	case !r.roster.Known():
		return false, "no_endpoints"
	case current.Keyed() && !r.configuration.reliable(now):
		return false, "stale_configuration"
	}
	return true, ""
}
