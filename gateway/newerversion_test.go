package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewerVersion checks that putting a version in force resets reports of that version and older
// ones only. Otherwise a router whose reads are always one change behind would miss the next version.
func TestNewerVersion(t *testing.T) {
	var n newerVersion
	now := time.Unix(1000, 0)
	assert.Assert(t, !n.known())
	n.setInForce(1, false)
	n.recordReport(now, netip.AddrPort{}, 1)
	assert.Assert(t, !n.known())
	n.recordReport(now, netip.AddrPort{}, 2)
	assert.Assert(t, n.known())
	n.recordReport(now, netip.AddrPort{}, 3)
	n.recordReport(now, netip.AddrPort{}, 2)
	n.setInForce(2, false)
	assert.Assert(t, n.known(), "a peer has version 3")
	n.setInForce(3, false)
	assert.Assert(t, !n.known())
	n.setChanged()
	assert.Assert(t, n.known(), "the source has another version")
	n.setInForce(4, false)
	assert.Assert(t, !n.known())
	n.setInForce(5, true)
	assert.Assert(t, !n.known())
	assert.Assert(t, n.mayExist(), "it arrived late")
	n.confirm()
	assert.Assert(t, !n.mayExist())
}

// TestPeersVersion checks that a version that was read from a peer does not reset the source's change
// or the late flag.
func TestPeersVersion(t *testing.T) {
	var n newerVersion
	n.recordReport(time.Unix(1000, 0), netip.AddrPort{}, 2)
	n.setInForceFromPeer(2, false)
	assert.Assert(t, !n.mayExist(), "no other version was reported")
	n.setChanged()
	n.setInForceFromPeer(3, false)
	assert.Assert(t, n.mayExist(), "the source may have yet another version")
	n.confirm()
	assert.Assert(t, !n.mayExist())
	n.setInForceFromPeer(4, true)
	n.setInForceFromPeer(5, false)
	assert.Assert(t, n.mayExist(), "it arrived late")
}
