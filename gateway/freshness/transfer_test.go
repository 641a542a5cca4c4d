package freshness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCompares checks which reads only ask what has changed.
func TestCompares(t *testing.T) {
	for _, test := range []struct {
		name  string
		known Known
		want  bool
	}{
		{"none is known", Known{Answered: true}, false},
		{"small", Known{Size: 64<<10 - 1, Answered: true}, false},
		{"large", Known{Size: 64 << 10, Answered: true}, true},
		{"large, and the last read failed", Known{Size: 64 << 10}, false},
		{"large, and a peer has a newer version", Known{Size: 64 << 10, Answered: true, Outdated: true}, false},
	} {
		assert.Equal(t, Compares(test.known), test.want, test.name)
	}
}
