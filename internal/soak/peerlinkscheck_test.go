package soak

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPeerLinks guards against gossip that bypasses the relays: two gateways must lose each
// other while the relays drop everything, and find each other again afterwards.
func TestPeerLinks(t *testing.T) {
	f := newFleet(t, &seriesPlan, 2)
	links := []peerLink{{from: 0, to: 1}, {from: 1, to: 0}}
	f.eventually("both have a peer", f.peersAlive(1))
	for _, link := range links {
		f.peers.set(link, peerFault{loss: 1})
	}
	f.eventually("none has a peer", f.peersAlive(0))
	f.peers.clear()
	f.eventually("both have a peer again", f.peersAlive(1))
	for _, g := range f.gateways {
		assert.Assert(t, !strings.Contains(g.log.From(0), "alive=2"), "a gateway counts itself as a peer")
	}
}

// peersAlive returns the condition that each gateway's last log line on peers reports n of
// them alive.
func (f *fleet) peersAlive(n int) func() bool {
	return func() bool {
		for _, g := range f.gateways {
			lines := strings.Split(g.log.From(0), "decision=peers ")
			if !strings.HasPrefix(lines[len(lines)-1], fmt.Sprintf("alive=%d ", n)) {
				return false
			}
		}
		return true
	}
}
