package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuperseded checks that a superseded configuration is dropped at the bound, but not while the source
// is unreachable.
func TestSuperseded(t *testing.T) {
	const bound, silence = 2 * time.Second, 3 * time.Second
	for _, test := range []struct {
		name                string
		confirmed, answered time.Duration
		want                bool
	}{
		{"just confirmed", 0, 0, false},
		{"confirmed just within the bound", bound - 1, 0, false},
		{"the bound has passed", bound, 0, true},
		{"the source responded recently", time.Minute, silence - 1, true},
		{"the source is unreachable", time.Minute, silence, false},
	} {
		assert.Equal(t, Superseded(test.confirmed, test.answered, bound, silence), test.want, test.name)
	}
}
