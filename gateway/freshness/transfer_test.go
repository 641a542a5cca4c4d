package freshness

import (
	"testing"
	"time"

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

// TestRest checks how long a router rests after a transfer.
func TestRest(t *testing.T) {
	const second = time.Second
	assert.Equal(t, Rest(second, 300*time.Millisecond, 4*second), 700*time.Millisecond)
	assert.Equal(t, Rest(second, 300*time.Millisecond, 2500*time.Millisecond), 500*time.Millisecond, "the lease would end")
	assert.Equal(t, Rest(second, 2*second, 4*second), time.Duration(0), "it was long ago")
	assert.Equal(t, Rest(second, 0, -second), time.Duration(0), "the lease has ended")
	assert.Equal(t, Rest(0, 0, 4*second), time.Duration(0), "there was none")
}
