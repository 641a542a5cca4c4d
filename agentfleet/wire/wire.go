// Package wire defines the messages that routers and agents exchange, and their framing:
// the length as a big-endian 32-bit integer, followed by one CBOR item.
//
// Fields are encoded by number, so that Go names may change. Numbers must not be reused
// with another meaning. Durations are in nanoseconds, times in RFC 3339. Package
// transport sends the messages: each stream starts with a request message, and only
// Gossip is sent in datagrams, without framing.
package wire

import "github.com/ryeford/ryeford"

// A Message has exactly one of its fields set. The request messages and their answers:
//
//	Dispatch, Join  Admitted and Frames, or Refused; the router may send Cancel
//	Watch           Inventory, immediately and after each change
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

// A Gossip is one datagram of the control traffic, which may be lost. Its contents are
// repeated in the next one, except Overflows, which are hints.
type Gossip struct {
	VM ryeford.VMID `cbor:"1,keyasint"` // the sender
	// Revision is the revision of the templates in force at the sender.
	Revision int64 `cbor:"2,keyasint"`
	// PlanEpoch and PlanSequence identify the newest plan that the sender has; zero if it
	// has none.
	PlanEpoch    int64 `cbor:"3,keyasint,omitempty"`
	PlanSequence int64 `cbor:"4,keyasint,omitempty"`
	// Loads are the loads of the sender's engines; set by agents.
	Loads []EngineLoad `cbor:"5,keyasint,omitempty"`
	// Overflows notify the home of a chat of the engine that served it; set by routers.
	Overflows []Overflow `cbor:"6,keyasint,omitempty"`
}

// An Overflow reports that an engine other than the home of a chat holds its prefix.
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

// A Pull asks a router or an agent for the templates that changed after a revision.
type Pull struct {
	Revision int64 `cbor:"1,keyasint"`
}

// A Delta contains the templates that changed after the requested revision, up to and
// including Revision. If More is set, further templates changed after Revision. Their
// earlier versions may be missing in this part, so all parts must be applied together.
type Delta struct {
	Revision  int64              `cbor:"1,keyasint"`
	Templates []ryeford.Template `cbor:"2,keyasint,omitempty"`
	More      bool               `cbor:"3,keyasint,omitempty"`
}

// A PullPlan asks a router for the part of the plan for a VM.
type PullPlan struct {
	VM ryeford.VMID `cbor:"1,keyasint"`
}

// A Successors asks a router for the next candidates of chats whose engine is leaving.
type Successors struct {
	Pool    ryeford.Pool `cbor:"1,keyasint"` // that served the chats
	Chats   []ChatKey    `cbor:"2,keyasint"`
	Leaving ryeford.VMID `cbor:"3,keyasint"` // not eligible as a candidate
}

// A ChatKey identifies a chat in all accounts.
type ChatKey struct {
	Account ryeford.AccountID `cbor:"1,keyasint"`
	Chat    ryeford.ChatID    `cbor:"2,keyasint"`
}

// A Placement is the next candidate of one chat.
type Placement struct {
	Engine ryeford.EngineID `cbor:"1,keyasint"`
	// Address is the address of the engine's agent, as IP:port.
	Address string `cbor:"2,keyasint"`
}

// Placements answers Successors, with one placement per chat in the same order. A
// placement without an engine means that there is no candidate.
type Placements struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// An Import asks an agent to import a chat's KV cache into one of its engines.
type Import struct {
	Engine ryeford.EngineID `cbor:"1,keyasint"`
	Chat   ChatKey          `cbor:"2,keyasint"`
	Cache  []byte           `cbor:"3,keyasint"` // as the engine exported it
	Pool   ryeford.Pool     `cbor:"4,keyasint"` // that served the chat
}

// A Watch asks an agent for its inventory, immediately and after each change.
type Watch struct {
	Router ryeford.VMID `cbor:"1,keyasint"` // the sender
}

// An EngineState is the state of one engine or service of an agent's VM. The operators'
// API returns it as JSON, without the load, which is as old as the inventory.
type EngineState struct {
	ID ryeford.EngineID `cbor:"1,keyasint" json:"id"`
	// Service is the name of a service; empty for an engine.
	Service string `cbor:"2,keyasint,omitempty" json:"service,omitempty"`
	// Pools are the pools that an engine has loaded; empty if it does not respond.
	Pools []ryeford.Pool `cbor:"3,keyasint,omitempty" json:"pools,omitempty"`
	Load  float64        `cbor:"4,keyasint" json:"-"` // in requests
	// BackingOff reports that the engine is backing off and must not be sent requests.
	BackingOff bool `cbor:"5,keyasint,omitempty" json:"resting,omitempty"`
}

// An Inventory is the state of an agent. The operators' API returns it as JSON.
type Inventory struct {
	VM            ryeford.VMID        `cbor:"1,keyasint" json:"vm"`
	Incarnation   ryeford.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	FailureDomain string              `cbor:"3,keyasint" json:"failure_domain"`
	Leaving       bool                `cbor:"4,keyasint" json:"leaving"`
	Engines       []EngineState       `cbor:"5,keyasint" json:"engines"`
}

// An Explain asks an agent for its logged decisions on a request.
type Explain struct {
	Request ryeford.RequestID `cbor:"1,keyasint"`
}

// Decisions contains the log lines of decisions, in logfmt and chronological order.
type Decisions struct {
	Lines []string `cbor:"1,keyasint"`
}

// A Leave makes an agent drain, because an operator stops its VM.
type Leave struct{}

// A Done confirms a message without another answer.
type Done struct{}
