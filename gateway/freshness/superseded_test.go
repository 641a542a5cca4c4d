package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuperseded checks when a superseded configuration is not used any more.
func TestSuperseded(t *testing.T) {
	const bound, contact = 2 * time.Second, 3 * time.Second
	for _, test := range []struct {
		name            string
		known, answered time.Duration
		want            bool
	}{
		{"just known", 0, 0, false},
		{"known for almost half of the bound", time.Second - 1, 0, false},
		{"known for half of the bound", time.Second, 0, true},
		{"the source answered lately", time.Minute, contact - 1, true},
		{"the source is out of reach", time.Minute, contact, false},
	} {
		assert.Equal(t, Superseded(test.known, test.answered, bound, contact), test.want, test.name)
	}
}
