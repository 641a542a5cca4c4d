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

// A Gossip is one datagram of the control traffic. It may be lost: what it says is
// sent again with the next one, but for Overflows, which are hints.
type Gossip struct {
	VM ryeford.VMID `cbor:"1,keyasint"` // the sender's
	// Revision is that of the templates in force at the sender.
	Revision int64 `cbor:"2,keyasint"`
	// PlanEpoch and PlanSequence name the newest plan that the sender knows; zero
	// if it knows none.
	PlanEpoch    int64 `cbor:"3,keyasint,omitempty"`
	PlanSequence int64 `cbor:"4,keyasint,omitempty"`
	// Loads are the loads of the sender's engines (from agents).
	Loads []EngineLoad `cbor:"5,keyasint,omitempty"`
	// Overflows say to a chat's home where the chat was served (from routers).
	Overflows []Overflow `cbor:"6,keyasint,omitempty"`
}

// An Overflow says that an engine other than a chat's home holds its prefix.
type Overflow struct {
	Home   ryeford.EngineID `cbor:"1,keyasint"`
	Chat   ChatKey          `cbor:"2,keyasint"`
	Engine ryeford.EngineID `cbor:"3,keyasint"`
}

// An EngineLoad is the load, in requests, of one engine that serves a model.
type EngineLoad struct {
	Model string  `cbor:"1,keyasint"`
	Load  float64 `cbor:"2,keyasint"`
}

// A Pull asks a router or an agent for the templates above a revision.
type Pull struct {
	Revision int64 `cbor:"1,keyasint"`
}

// A Delta holds all templates above the asked revision, up to Revision. If More is set,
// there are others above it, which may have had earlier versions up to Revision: a book
// takes the parts together.
type Delta struct {
	Revision  int64              `cbor:"1,keyasint"`
	Templates []ryeford.Template `cbor:"2,keyasint,omitempty"`
	More      bool               `cbor:"3,keyasint,omitempty"`
}

// A PullPlan asks a router for a VM's part of the plan. A ryeford.Plan answers it.
type PullPlan struct {
	VM ryeford.VMID `cbor:"1,keyasint"`
}

// A Successors asks a router for the next candidates of chats whose engine
// is leaving.
type Successors struct {
	Pool    ryeford.Pool `cbor:"1,keyasint"` // that served the chats
	Chats   []ChatKey    `cbor:"2,keyasint"`
	Leaving ryeford.VMID `cbor:"3,keyasint"` // no candidate is on it
}

// A ChatKey names a chat among those of all accounts.
type ChatKey struct {
	Account ryeford.AccountID `cbor:"1,keyasint"`
	Chat    ryeford.ChatID    `cbor:"2,keyasint"`
}

// A Placement is the next candidate of one chat.
type Placement struct {
	Engine ryeford.EngineID `cbor:"1,keyasint"`
	// Address is that of the engine's agent, as IP:port.
	Address string `cbor:"2,keyasint"`
}

// Placements answers Successors, in the order of its chats. An empty engine means
// that there is no candidate.
type Placements struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// An Import hands a chat's KV cache to another engine.
type Import struct {
	Engine ryeford.EngineID `cbor:"1,keyasint"`
	Chat   ChatKey          `cbor:"2,keyasint"`
	Cache  []byte           `cbor:"3,keyasint"` // as the engine exported it
	Pool   ryeford.Pool     `cbor:"4,keyasint"` // that served the chat
}

// A Watch asks an agent for its inventory, now and at each change.
type Watch struct {
	Router ryeford.VMID `cbor:"1,keyasint"` // that asks
}

// An EngineState is the state of one engine or service of an agent's VM. Operators get it
// in JSON, without the load, which is as old as the inventory.
type EngineState struct {
	ID ryeford.EngineID `cbor:"1,keyasint" json:"id"`
	// Service is the name of a service; empty for an engine.
	Service string `cbor:"2,keyasint,omitempty" json:"service,omitempty"`
	// Pools are what an engine has loaded; none if it does not answer.
	Pools []ryeford.Pool `cbor:"3,keyasint,omitempty" json:"pools,omitempty"`
	Load  float64        `cbor:"4,keyasint" json:"-"` // in requests
	// Resting says that the engine has asked for rest, and is sent nothing.
	Resting bool `cbor:"5,keyasint,omitempty" json:"resting,omitempty"`
}

// An Inventory is the state of an agent. Operators get it in JSON.
type Inventory struct {
	VM            ryeford.VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation   ryeford.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	FailureDomain string              `cbor:"3,keyasint" json:"failure_domain"`
	Leaving       bool                `cbor:"4,keyasint" json:"leaving"`
	Engines       []EngineState       `cbor:"5,keyasint" json:"engines"`
}

// An Explain asks an agent for its decisions on a request.
type Explain struct {
	Request ryeford.RequestID `cbor:"1,keyasint"`
}

// Decisions holds the log lines of decisions, in logfmt and in the order of time.
type Decisions struct {
	Lines []string `cbor:"1,keyasint"`
}

// A Leave makes an agent drain: an operator stops its VM.
type Leave struct{}

// A Done confirms a message that has no other answer.
type Done struct{}
