package router

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestReady checks when the load balancer may send callers.
func TestReady(t *testing.T) {
	for _, test := range []struct {
		name            string
		synced, leaving bool
		agents          int
		want            bool
	}{
		{"can serve", true, false, 1, true},
		{"no templates yet", false, false, 1, false},
		{"leaving", true, true, 1, false},
		{"no agent connected", true, false, 0, false},
	} {
		assert.Equal(t, ready(test.synced, test.leaving, test.agents), test.want, test.name)
	}
}
