package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConfirms checks that stale reads do not confirm the configuration.
func TestConfirms(t *testing.T) {
	known := SourceState{Revision: 7, Version: 3}
	assert.Assert(t, Confirms(SourceState{Revision: 8, Version: 4}, known), "newer than the known state")
	assert.Assert(t, Confirms(known, known), "equal to the known state")
	assert.Assert(t, !Confirms(SourceState{Revision: 6, Version: 3}, known), "a stale revision")
	assert.Assert(t, !Confirms(SourceState{Revision: 8, Version: 2}, known), "a version older than a peer's")
}

// TestPeerReportExpiry checks when a version reported by peers is dropped.
func TestPeerReportExpiry(t *testing.T) {
	assert.Assert(t, !PeerReportExpired(time.Second-1))
	assert.Assert(t, PeerReportExpired(time.Second))
}

// TestPeerActionFor checks the reaction to a peer's confirmation.
func TestPeerActionFor(t *testing.T) {
	for _, test := range []struct {
		name            string
		configured      bool
		local, reported int64
		want            PeerAction
	}{
		{"nothing is in force here", false, 0, 3, PeerIsNewer},
		{"the peer has a newer version", true, 2, 3, PeerIsNewer},
		{"the peer has the same version", true, 3, 3, PeerConfirms},
		{"the peer has an older version", true, 4, 3, PeerIgnored},
	} {
		assert.Equal(t, PeerActionFor(test.configured, test.local, test.reported), test.want, test.name)
	}
}
