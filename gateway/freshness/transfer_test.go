package freshness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCompares checks which reads compare the configuration instead of transferring it.
func TestCompares(t *testing.T) {
	for _, test := range []struct {
		name  string
		known Known
		want  bool
	}{
		{"none is known", Known{}, false},
		{"small", Known{Size: 64<<10 - 1}, false},
		{"large", Known{Size: 64 << 10}, true},
		{"large, and the last read failed", Known{Size: 64 << 10, Failed: 1}, true},
		{"large, and the last two failed", Known{Size: 64 << 10, Failed: 2}, false},
		{"large, and the last two and the full read failed", Known{Size: 64 << 10, Failed: 3}, true},
		{"large, and one more read failed", Known{Size: 64 << 10, Failed: 4}, true},
		{"large, and two more reads failed", Known{Size: 64 << 10, Failed: 5}, false},
		{"large, and a newer version is known", Known{Size: 64 << 10, Outdated: true}, false},
	} {
		assert.Equal(t, Compares(test.known), test.want, test.name)
	}
}
