package readiness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCheck checks the reason for each missing condition, and which of several takes precedence.
func TestCheck(t *testing.T) {
	ready := State{Configured: true, EndpointsLoaded: true, RequiresKey: true, ServesKeys: true}
	for _, test := range []struct {
		name  string
		state State
		want  Reason
	}{
		{"all conditions met", ready, Ready},
		{"shutting down", State{Stopping: true, Configured: true, EndpointsLoaded: true, RequiresKey: true, ServesKeys: true}, "leaving"},
		{"just started", State{}, "no_configuration"},
		{"shutting down without a configuration", State{Stopping: true}, "leaving"},
		{"no list of endpoints", State{Configured: true, RequiresKey: true, ServesKeys: true}, "no_endpoints"},
		{"keys can't be verified", State{Configured: true, EndpointsLoaded: true, RequiresKey: true}, "stale_configuration"},
		{"superseded, and there are no keys", State{Configured: true, EndpointsLoaded: true, ServesKeys: true, Superseded: true}, "stale_configuration"},
		{"keys can't be verified, but there are none", State{Configured: true, EndpointsLoaded: true}, Ready},
	} {
		assert.Equal(t, Check(test.state), test.want, test.name)
	}
}
