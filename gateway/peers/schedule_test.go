package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMembersToName checks which of a process's messages name peers.
func TestMembersToName(t *testing.T) {
	for sequence, want := range map[uint64]int{1: 12, 2: 0, 7: 0, 8: 0, 9: 12, 10: 0, 17: 12} {
		assert.Equal(t, MembersToName(sequence), want, "message %d", sequence)
	}
}

// TestLookupDue checks when a router looks up its peers.
func TestLookupDue(t *testing.T) {
	now := start.Add(time.Hour)
	for _, test := range []struct {
		name       string
		registered time.Time
		alive      int
		want       bool
	}{
		{"never registered", time.Time{}, 3, true},
		{"registered, with peers", now.Add(-time.Minute), 3, false},
		{"registered, without peers", now.Add(-time.Second), 0, true},
		{"an entry of ten minutes", now.Add(-10 * time.Minute), 3, false},
		{"an older entry", now.Add(-10*time.Minute - 1), 3, true},
	} {
		assert.Equal(t, LookupDue(now, test.registered, test.alive), test.want, test.name)
	}
}
