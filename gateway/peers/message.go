// Package peers is the gossip between the routers of a fleet: what a message says,
// what a router concludes from the messages it receives, and what it sends to whom.
//
// It owns the table of peers. All of it is soft state, rebuilt from messages within
// seconds: a router without peers works on with what it knows by itself. The package
// does no I/O; the times that it is given are of the steady clock.
package peers

import (
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
)

// A Message is what a router sends its peers every Interval, and at once when it has news of
// the configuration.
type Message struct {
	Sender netip.AddrPort `cbor:"1,keyasint"`
	// Started is when the sender's process was started, in nanoseconds since 1970.
	// It distinguishes the processes that had one address.
	Started int64 `cbor:"2,keyasint"`
	// Sequence numbers the messages of one process, from 1. Zero marks news of a change
	// of the configuration, which tells nothing of the sender's loads and prompts.
	Sequence uint64 `cbor:"3,keyasint"`
	// Members are peers that were alive for the sender. Most messages name none.
	Members []netip.AddrPort `cbor:"4,keyasint"`
	// Loads are the sender's requests under way, at the endpoints that have any.
	Loads []Load `cbor:"5,keyasint"`
	// Version is that of the configuration in force at the sender, or zero.
	//
	// Keys 8 to 10 belonged to fields that were removed. They must not be used for
	// other fields: routers of an older release would misread them.
	Version int64 `cbor:"7,keyasint"`
	// ConfirmedAt is what the steady clock of the configuration's source showed when
	// Version was last known to be the newest.
	ConfirmedAt time.Duration `cbor:"11,keyasint"`
	// Confirmed is false if the sender has no confirmation: ConfirmedAt is not set.
	Confirmed bool `cbor:"12,keyasint"`
	// Superseded is the newest state of the configuration's source that the sender knows
	// to be superseded, or zero. It is known before the sender has what replaces it.
	Superseded ryeford.ConfigurationState `cbor:"13,keyasint,omitempty"`
	// Prompts were sent to endpoints since the last message.
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
