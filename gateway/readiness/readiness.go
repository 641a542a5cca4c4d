// Package readiness decides whether the load balancer may send new connections to a
// router, and names why not. It is pure: values in, values out.
//
// Rule: a router is ready if it is not stopping, knows a configuration and the list
// of endpoints, no newer configuration should be in force, and it serves requests that need
// keys, unless none do.
//
// Why: a router that can't tell whether a key was revoked has to refuse almost all
// requests, while another one may serve them. Configurations without keys need no
// lease: with any version that was in force, requests on them may be served.
package readiness

// State is what a router knows of itself, now.
type State struct {
	Stopping       bool // it was ordered to stop
	Configured     bool // a configuration is in force
	EndpointsKnown bool // the list of endpoints has been read
	Keyed          bool // requests carry keys
	ServesKeys     bool // requests that carry keys are served
	Superseded     bool // a newer configuration should be in force here
}

// A Reason is why a router is not ready, as it is logged.
type Reason string

// The reasons.
const (
	Ready              Reason = "" // it is ready
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
	case !s.EndpointsKnown:
		return NoEndpoints
	case s.Superseded, s.Keyed && !s.ServesKeys:
		return StaleConfiguration
	}
	return Ready
}
