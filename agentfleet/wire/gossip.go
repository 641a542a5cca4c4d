package wire

import "github.com/ryeford/ryeford"

// RumorFanout is to how many peers a process passes a new revision at once.
const RumorFanout = 8

// A Gossip is one datagram of the control traffic.
type Gossip struct {
	VM       ryeford.VMID `cbor:"1,keyasint"`
	Revision int64        `cbor:"2,keyasint"`
	// PlanEpoch and PlanSequence name the newest plan the sender knows.
	PlanEpoch    int64 `cbor:"3,keyasint,omitempty"`
	PlanSequence int64 `cbor:"4,keyasint,omitempty"`
	// Loads are the sender's engines' loads (from agents).
	Loads []EngineLoad `cbor:"5,keyasint,omitempty"`
	// Overflows tell a chat's home where the chat was served (from routers).
	Overflows []Overflow `cbor:"6,keyasint,omitempty"`
}

// An Overflow says that an engine other than a chat's home holds its prefix.
type Overflow struct {
	Home   ryeford.EngineID `cbor:"1,keyasint"`
	Chat   ChatKey          `cbor:"2,keyasint"`
	Engine ryeford.EngineID `cbor:"3,keyasint"`
}

// An EngineLoad is the load of one engine of a model.
type EngineLoad struct {
	Model string  `cbor:"1,keyasint"`
	Load  float64 `cbor:"2,keyasint"`
}

// A PullPlan asks for a VM's part of the plan.
type PullPlan struct {
	VM ryeford.VMID `cbor:"1,keyasint"`
}
