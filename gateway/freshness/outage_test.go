package freshness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestServesKeys checks that requests that need a key are served after the lease has ended only in a
// bridged outage.
func TestServesKeys(t *testing.T) {
	for _, row := range []struct {
		rule                  string
		bridges, valid, newer bool
		want                  bool
	}{
		{"the lease is valid", false, true, false, true},
		{"the lease is valid, and a newer version is on its way", false, true, true, true},
		{"the lease has ended", false, false, false, false},
		{"the lease has ended in an outage that is bridged", true, false, false, true},
		{"the same, and a newer version is known", true, false, true, false},
	} {
		assert.Equal(t, ServesKeys(row.bridges, row.valid, row.newer), row.want, row.rule)
	}
}
