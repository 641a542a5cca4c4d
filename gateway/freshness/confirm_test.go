package freshness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestConfirms checks which own reads confirm the configuration.
func TestConfirms(t *testing.T) {
	assert.Assert(t, Confirms(8, 7), "newer than anything known")
	assert.Assert(t, Confirms(7, 7), "as new as what is known")
	assert.Assert(t, !Confirms(6, 7), "a stale answer")
}

// TestAfterPeer checks what a peer's confirmation is worth.
func TestAfterPeer(t *testing.T) {
	for _, test := range []struct {
		name        string
		known       bool
		own, theirs int64
		want        PeerAction
	}{
		{"nothing is in force here", false, 0, 3, PeerIsNewer},
		{"the peer has a newer version", true, 2, 3, PeerIsNewer},
		{"the peer has the same version", true, 3, 3, PeerRenews},
		{"the peer has an older version", true, 4, 3, PeerIgnored},
	} {
		assert.Equal(t, AfterPeer(test.known, test.own, test.theirs), test.want, test.name)
	}
}
