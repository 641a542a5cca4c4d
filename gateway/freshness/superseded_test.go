package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuperseded checks that a superseded configuration is dropped at the bound, but not while the source
// is unreachable.
func TestSuperseded(t *testing.T) {
	const changeTimeout, unreachableAfter = 2 * time.Second, 3 * time.Second
	for _, test := range []struct {
		name                    string
		confirmed, sinceContact time.Duration
		want                    bool
	}{
		{"just confirmed", 0, 0, false},
		{"confirmed just within the bound", changeTimeout - 1, 0, false},
		{"the bound has passed", changeTimeout, 0, true},
		{"the source responded recently", time.Minute, unreachableAfter - 1, true},
		{"the source is unreachable", time.Minute, unreachableAfter, false},
	} {
		assert.Equal(t, Superseded(test.confirmed, test.sinceContact, changeTimeout, unreachableAfter), test.want, test.name)
	}
}
