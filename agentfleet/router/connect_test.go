package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRedialBackoff checks the waits between connections to an agent.
func TestRedialBackoff(t *testing.T) {
	var backoff redialBackoff
	for _, test := range []struct {
		name   string
		uptime time.Duration
		want   time.Duration
	}{
		{"first loss", 0, 50 * time.Millisecond},
		{"lost immediately", 0, 100 * time.Millisecond},
		{"lost before it was stable", stableAfter, 200 * time.Millisecond},
		{"lost again", 0, 400 * time.Millisecond},
		{"lost again", 0, 800 * time.Millisecond},
		{"lost again", 0, 1600 * time.Millisecond},
		{"at the maximum", 0, 2 * time.Second},
		{"stays at the maximum", 0, 2 * time.Second},
		{"after a stable connection", stableAfter + 1, 50 * time.Millisecond},
		{"lost immediately", 0, 100 * time.Millisecond},
	} {
		assert.Equal(t, backoff.next(test.uptime), test.want, test.name)
	}
}

// TestSyncQuorum checks how many agents may substitute for the table.
func TestSyncQuorum(t *testing.T) {
	for _, test := range []struct {
		name                string
		answered, connected int
		want                bool
	}{
		{"no agent", 0, 0, false},
		{"no agent replied", 0, 5, false},
		{"fewer than a quorum", 2, 5, false},
		{"a quorum", 3, 5, true},
		{"all of a small fleet", 2, 2, true},
		{"not all of a small fleet", 1, 2, false},
	} {
		assert.Equal(t, hasSyncQuorum(test.answered, test.connected), test.want, test.name)
	}
}
