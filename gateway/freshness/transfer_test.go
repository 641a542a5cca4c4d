package freshness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCompares checks which reads only ask what has changed.
func TestCompares(t *testing.T) {
	for _, test := range []struct {
		name     string
		size     int
		answered bool
		want     bool
	}{
		{"none is known", 0, true, false},
		{"small", 64<<10 - 1, true, false},
		{"large", 64 << 10, true, true},
		{"large, and the last read failed", 64 << 10, false, false},
	} {
		assert.Equal(t, Compares(test.size, test.answered), test.want, test.name)
	}
}
