package gateway

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNewerVersion checks when a newer version than the one in force is known: a version
// that is put in force ends that for itself and for older ones, and no more. It fails if a
// router whose reads are always one change behind forgets with each that it knows of the
// next.
func TestNewerVersion(t *testing.T) {
	var n newerVersion
	now := time.Unix(1000, 0)
	assert.Assert(t, !n.known())
	n.putInForce(1, false)
	n.receive(now, netip.AddrPort{}, 1)
	assert.Assert(t, !n.known())
	n.receive(now, netip.AddrPort{}, 2)
	assert.Assert(t, n.known())
	n.receive(now, netip.AddrPort{}, 3)
	n.receive(now, netip.AddrPort{}, 2)
	n.putInForce(2, false)
	assert.Assert(t, n.known(), "version 3 is at a peer")
	n.putInForce(3, false)
	assert.Assert(t, !n.known())
	n.setChanged()
	assert.Assert(t, n.known(), "the source has another version")
	n.putInForce(4, false)
	assert.Assert(t, !n.known())
	n.putInForce(5, true)
	assert.Assert(t, !n.known())
	assert.Assert(t, n.mayBeDue(), "it came late")
	n.confirm()
	assert.Assert(t, !n.mayBeDue())
}

// TestPeersVersion checks that a version that came from a peer does not make a router forget
// that the source has said that it has another one, or that one may be due.
func TestPeersVersion(t *testing.T) {
	var n newerVersion
	n.receive(time.Unix(1000, 0), netip.AddrPort{}, 2)
	n.putPeersInForce(2, false)
	assert.Assert(t, !n.mayBeDue(), "nothing was said of another one")
	n.setChanged()
	n.putPeersInForce(3, false)
	assert.Assert(t, n.mayBeDue(), "the source's may be yet another")
	n.confirm()
	assert.Assert(t, !n.mayBeDue())
	n.putPeersInForce(4, true)
	n.putPeersInForce(5, false)
	assert.Assert(t, n.mayBeDue(), "it came late")
}
