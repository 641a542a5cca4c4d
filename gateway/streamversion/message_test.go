package streamversion

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/peers"
)

// testPeer is the address of a peer.
var testPeer = netip.MustParseAddrPort("10.0.0.1:7000")

// encoded returns a message as a datagram.
func encoded(t testing.TB, m *message) []byte {
	t.Helper()
	datagram, err := encode(m)
	assert.NilError(t, err)
	return datagram
}

// TestMessageBesideGossip guards against a router of a release without records that takes a record for gossip, and
// against one that takes gossip for a record.
func TestMessageBesideGossip(t *testing.T) {
	datagram := encoded(t, &message{Kind: kindStore, Sender: testPeer, Record: Record{Key: NewKey("r", "s", "a"), Software: "v1"}})
	assert.Assert(t, IsMessage(datagram))
	var gossip peers.Message
	assert.Assert(t, cbor.Unmarshal(datagram, &gossip) != nil)
	content, err := cbor.Marshal(&peers.Message{Sender: testPeer})
	assert.NilError(t, err)
	assert.Assert(t, !IsMessage(content))
	assert.Assert(t, !IsMessage(nil))
}

// TestMalformedMessage guards against a record of a version that no endpoint can have reported.
func TestMalformedMessage(t *testing.T) {
	for name, m := range map[string]message{
		"no kind":         {Sender: testPeer},
		"unknown kind":    {Kind: kindReply + 1, Sender: testPeer},
		"no sender":       {Kind: kindLookup},
		"a long version":  {Kind: kindStore, Sender: testPeer, Record: Record{Software: ryeford.SoftwareVersion(strings.Repeat("v", 100))}},
		"a long only one": {Kind: kindReply, Sender: testPeer, Only: ryeford.SoftwareVersion(strings.Repeat("v", 100))},
	} {
		_, ok := decode(encoded(t, &m))
		assert.Assert(t, !ok, name)
	}
}

// FuzzReceive guards against a datagram that stops a router.
func FuzzReceive(f *testing.F) {
	f.Add(encoded(f, &message{Kind: kindStore, Sender: testPeer, Record: Record{Key: NewKey("r", "s", "a"), Software: "v1"}}))
	f.Add(encoded(f, &message{Kind: kindReply, Sender: testPeer, Call: 7, Found: true, AgeMs: 1 << 31, Only: "v2"}))
	f.Add([]byte{0x80})
	tracker := NewTracker(Options{
		Self: testPeer, Limits: testLimits, History: NewHistory(testLimits, true), Now: time.Now,
		Ranked: func(time.Time, uint64, int) []netip.AddrPort { return nil }, Send: func(netip.AddrPort, []byte) {},
	})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if tracker.Receive(datagram) {
			assert.Assert(t, IsMessage(datagram))
		}
		assert.Assert(t, tracker.Len() <= testLimits.Records)
	})
}
