package freshness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestServesKeys checks that requests that need a key are served after the lease has ended only in a
// bridged outage.
func TestServesKeys(t *testing.T) {
	for _, test := range []struct {
		name                   string
		bridging, valid, newer bool
		want                   bool
	}{
		{"the lease is valid", false, true, false, true},
		{"the lease is valid, and a newer version is known", false, true, true, true},
		{"the lease has ended", false, false, false, false},
		{"the lease has ended in a bridged outage", true, false, false, true},
		{"the lease has ended in a bridged outage, and a newer version is known", true, false, true, false},
	} {
		assert.Equal(t, ServesKeys(test.bridging, test.valid, test.newer), test.want, test.name)
	}
}
