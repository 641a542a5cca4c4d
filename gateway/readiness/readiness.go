// Package readiness decides whether the load balancer may send new connections to a
// router, and gives the reason otherwise. It is pure: it has no state, clock or I/O.
//
// Rule: a router is ready if it is not shutting down, has a configuration and the list of
// endpoints, is not superseded by a newer configuration, and serves requests that need keys,
// unless the configuration has no keys.
//
// Why: a router that can't verify whether a key was revoked must refuse almost all
// requests, while another router may serve them. Configurations without keys need no lease,
// since their requests may be served with any version that was in force.
package readiness

// State is the current state of a router.
type State struct {
	Stopping        bool // shutdown was requested
	Configured      bool // a configuration is in force
	EndpointsLoaded bool // the list of endpoints has been read
	RequiresKey     bool // requests need keys
	ServesKeys      bool // requests that need a key are served
	Superseded      bool // a newer configuration should be in force here
}

// A Reason states in the logs why a router is not ready.
type Reason string

// Reasons for a router not to be ready.
const (
	Ready              Reason = "" // the router is ready
	Stopping           Reason = "leaving"
	NoConfiguration    Reason = "no_configuration"
	NoEndpoints        Reason = "no_endpoints"
	StaleConfiguration Reason = "stale_configuration"
)

// Check returns why a router is not ready, or Ready.
func Check(s State) Reason {
	switch {
	case s.Stopping:
		return Stopping
	case !s.Configured:
		return NoConfiguration
	case !s.EndpointsLoaded:
		return NoEndpoints
	case s.Superseded, s.RequiresKey && !s.ServesKeys:
		return StaleConfiguration
	}
	return Ready
}
