package wire

import "github.com/ryeford/ryeford"

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

// A Delta holds all templates above the asked revision, up to Revision.
type Delta struct {
	Revision  int64              `cbor:"1,keyasint"`
	Templates []ryeford.Template `cbor:"2,keyasint,omitempty"`
}

// A PullPlan asks a router for a VM's part of the plan. A ryeford.Plan answers it.
type PullPlan struct {
	VM ryeford.VMID `cbor:"1,keyasint"`
}
