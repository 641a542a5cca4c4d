// Package peers is what the routers of a fleet tell each other, and what one
// makes of it: who the others are, how many requests each has at each endpoint,
// and which prompts were sent where. All of it is soft state: a router that hears
// nobody works on with what it knows by itself. It does no I/O.
package peers

import (
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
)

// A Message is what a router tells its peers from time to time.
type Message struct {
	Sender netip.AddrPort `cbor:"1,keyasint"`
	// Started tells the lives of a sender apart: nanoseconds since 1970.
	Started int64 `cbor:"2,keyasint"`
	// Sequence numbers the messages of one life.
	Sequence uint64 `cbor:"3,keyasint"`
	// Members are routers that the sender has heard of lately.
	Members []netip.AddrPort `cbor:"4,keyasint"`
	// Loads are the sender's requests under way, where there are any.
	Loads []Load `cbor:"5,keyasint"`
	// Version is the configuration that the sender has. ConfirmedAt is what the
	// steady clock of its source showed when it was last known to be the newest;
	// Confirmed is false where it never was. (8 to 10 were used before.)
	Version     int64         `cbor:"7,keyasint"`
	ConfirmedAt time.Duration `cbor:"11,keyasint"`
	Confirmed   bool          `cbor:"12,keyasint"`
	// Prompts were sent since the last message.
	Prompts []Prompt `cbor:"6,keyasint"`
}

// A Load is how many requests a router has under way at an endpoint.
type Load struct {
	Endpoint ryeford.EndpointID `cbor:"1,keyasint"`
	Requests int                `cbor:"2,keyasint"`
}

// A Prompt is the shared parts of a prompt that an endpoint has read.
type Prompt struct {
	Endpoint ryeford.EndpointID `cbor:"1,keyasint"`
	Parts    []uint64           `cbor:"2,keyasint"`
}
