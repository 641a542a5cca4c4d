// Package wire holds the messages that routers and agents exchange, and their
// framing: a length in four bytes, big-endian, then one CBOR item.
//
// Fields are named by number on the wire, so that a Go name may change; a number is
// never used again for another meaning. Durations are in nanoseconds, times in
// RFC 3339. Package transport carries the messages: each stream begins with one
// that asks, and Gossip alone goes in datagrams, without framing.
package wire

import "github.com/ryeford/ryeford"

// A Message is exactly one of its fields. Those that ask, and what answers them:
//
//	Dispatch, Join  Admitted and Frames, or Refused; the router may send Cancel
//	Watch           Inventory, now and at each change
//	Pull            Delta
//	PullPlan        Plan
//	Successors      Placements
//	Import          Done
//	Explain         Decisions
//	Leave           Done
type Message struct {
	Dispatch   *Dispatch     `cbor:"1,keyasint,omitempty"`
	Join       *Join         `cbor:"2,keyasint,omitempty"`
	Admitted   *Admitted     `cbor:"3,keyasint,omitempty"`
	Refused    *Refused      `cbor:"4,keyasint,omitempty"`
	Frame      *Frame        `cbor:"5,keyasint,omitempty"`
	Cancel     *Cancel       `cbor:"6,keyasint,omitempty"`
	Watch      *Watch        `cbor:"7,keyasint,omitempty"`
	Inventory  *Inventory    `cbor:"8,keyasint,omitempty"`
	Pull       *Pull         `cbor:"9,keyasint,omitempty"`
	Delta      *Delta        `cbor:"10,keyasint,omitempty"`
	Successors *Successors   `cbor:"11,keyasint,omitempty"`
	Placements *Placements   `cbor:"12,keyasint,omitempty"`
	Import     *Import       `cbor:"13,keyasint,omitempty"`
	Explain    *Explain      `cbor:"14,keyasint,omitempty"`
	Decisions  *Decisions    `cbor:"15,keyasint,omitempty"`
	Plan       *ryeford.Plan `cbor:"16,keyasint,omitempty"`
	PullPlan   *PullPlan     `cbor:"17,keyasint,omitempty"`
	Leave      *Leave        `cbor:"18,keyasint,omitempty"`
	Done       *Done         `cbor:"19,keyasint,omitempty"`
}
