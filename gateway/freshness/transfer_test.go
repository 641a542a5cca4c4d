package freshness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUseComparison checks which reads compare the configuration instead of transferring
// it.
func TestUseComparison(t *testing.T) {
	for _, test := range []struct {
		name  string
		state ReadState
		want  bool
	}{
		{"none is known", ReadState{}, false},
		{"small", ReadState{Size: 64<<10 - 1}, false},
		{"large", ReadState{Size: 64 << 10}, true},
		{"large, and the last read failed", ReadState{Size: 64 << 10, FailedReads: 1}, true},
		{"large, and the last two failed", ReadState{Size: 64 << 10, FailedReads: 2}, false},
		{"large, and the last two and the full read failed", ReadState{Size: 64 << 10, FailedReads: 3}, true},
		{"large, and one more read failed", ReadState{Size: 64 << 10, FailedReads: 4}, true},
		{"large, and two more reads failed", ReadState{Size: 64 << 10, FailedReads: 5}, false},
		{"large, and a newer version is known", ReadState{Size: 64 << 10, Outdated: true}, false},
	} {
		assert.Equal(t, UseComparison(test.state), test.want, test.name)
	}
}
