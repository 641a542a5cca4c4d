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
		{"a message from a configured peer", Lookup{Seeded: true, Running: time.Second, ReceivedRecently: true}, false},
		{"a message from a configured peer, and first in the time slot", Lookup{Seeded: true, Running: time.Second, ReceivedRecently: true, FirstInSlot: true}, true},
		{"never registered, without configured peers", Lookup{Running: time.Second, ReceivedRecently: true}, true},
		{"registered, and messages are received", Lookup{Registered: true, SinceRegistration: time.Minute, ReceivedRecently: true, FirstInSlot: true}, false},
		{"registered, but isolated", Lookup{Registered: true, SinceRegistration: time.Second}, true},
		{"an entry at the renewal age", Lookup{Registered: true, SinceRegistration: 10 * time.Minute, ReceivedRecently: true}, false},
		{"an entry beyond the renewal age", Lookup{Registered: true, SinceRegistration: 10*time.Minute + 1, ReceivedRecently: true}, true},
		{"an entry beyond the renewal age, with configured peers", Lookup{Seeded: true, Registered: true, SinceRegistration: 10*time.Minute + 1, ReceivedRecently: true}, false},
		{"an entry beyond the renewal age, and first in the time slot", Lookup{Seeded: true, Registered: true, SinceRegistration: 10*time.Minute + 1, ReceivedRecently: true, FirstInSlot: true}, true},
	} {
		assert.Equal(t, test.lookup.Due(), test.want, test.name)
	}
}
