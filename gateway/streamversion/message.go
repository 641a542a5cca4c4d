package streamversion

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"github.com/ryeford/ryeford"
)

// Routers exchange records in datagrams of their own, beside gossip. A datagram is a CBOR array, while a message of
// gossip is a CBOR map: a router of a release without records drops it as malformed.

// cborArray is the major type of a CBOR array, in the upper three bits of its first byte.
const cborArray = 4 << 5

// IsMessage reports whether a datagram is a message of this package rather than one of gossip.
func IsMessage(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0]&0xe0 == cborArray
}

// A kind is the kind of a message.
type kind uint8

const (
	kindStore  kind = iota + 1 // keep a record
	kindLookup                 // return the record with a key
	kindReply                  // the answer to either
)

// A message is what routers send each other about streams.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	// Sender is the gossip address of the sender.
	Sender netip.AddrPort
	// Call is chosen by the sender of a request and returned in the reply.
	Call   uint64
	Record Record // of a lookup: only its Key
	// Found, in the reply to a lookup, means that Record is what the sender keeps. AgeMs is the time since it was
	// written or read, in milliseconds.
	Found bool
	AgeMs uint32
	// Only, in a reply, is the version that has begun all streams of the service that may be taken up now, or empty.
	Only ryeford.SoftwareVersion
}

// encode returns a message as a datagram.
func encode(m *message) ([]byte, error) { return cbor.Marshal(m) }

// decode decodes a datagram. It reports false if the datagram is no message of this package.
func decode(datagram []byte) (*message, bool) {
	var m message
	if err := cbor.Unmarshal(datagram, &m); err != nil || m.Kind < kindStore || m.Kind > kindReply || !m.Sender.IsValid() {
		return nil, false
	}
	if !m.Record.Software.Valid() || !m.Only.Valid() {
		return nil, false
	}
	return &m, true
}
