package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLookup checks when a router registers and looks up its peers.
func TestLookup(t *testing.T) {
	for _, test := range []struct {
		name   string
		lookup Lookup
		want   bool
	}{
		{"at the start, without configured peers", Lookup{}, true},
		{"at the start, with configured peers", Lookup{Seeded: true}, false},
		{"no message from configured peers within a second", Lookup{Seeded: true, Running: time.Second}, true},
		{"a message from a configured peer", Lookup{Seeded: true, Running: time.Second, Heard: true}, false},
		{"a message from a configured peer, and first in the time slot", Lookup{Seeded: true, Running: time.Second, Heard: true, First: true}, true},
		{"never registered, without configured peers", Lookup{Running: time.Second, Heard: true}, true},
		{"registered, and messages are received", Lookup{Registered: true, Since: time.Minute, Heard: true, First: true}, false},
		{"registered, but isolated", Lookup{Registered: true, Since: time.Second}, true},
		{"an entry at the renewal age", Lookup{Registered: true, Since: 10 * time.Minute, Heard: true}, false},
		{"an entry beyond the renewal age", Lookup{Registered: true, Since: 10*time.Minute + 1, Heard: true}, true},
		{"an entry beyond the renewal age, with configured peers", Lookup{Seeded: true, Registered: true, Since: 10*time.Minute + 1, Heard: true}, false},
		{"an entry beyond the renewal age, and first in the time slot", Lookup{Seeded: true, Registered: true, Since: 10*time.Minute + 1, Heard: true, First: true}, true},
	} {
		assert.Equal(t, test.lookup.Due(), test.want, test.name)
	}
}
