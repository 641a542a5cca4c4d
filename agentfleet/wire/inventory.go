package wire

import "github.com/ryeford/ryeford"

// A Watch asks an agent for its inventory, now and at each change.
type Watch struct {
	Router ryeford.VMID `cbor:"1,keyasint"` // that asks
}

// An EngineState is the state of one engine or service of an agent's VM.
type EngineState struct {
	ID ryeford.EngineID `cbor:"1,keyasint"`
	// Service is the name of a service; empty for an engine.
	Service string `cbor:"2,keyasint,omitempty"`
	// Pools are what an engine has loaded; none if it does not answer.
	Pools []ryeford.Pool `cbor:"3,keyasint,omitempty"`
	Load  float64        `cbor:"4,keyasint"` // in requests
}

// An Inventory is the state of an agent.
type Inventory struct {
	VM            ryeford.VMID        `cbor:"1,keyasint"`
	Incarnation   ryeford.Incarnation `cbor:"2,keyasint"`
	FailureDomain string              `cbor:"3,keyasint"`
	Leaving       bool                `cbor:"4,keyasint"`
	Engines       []EngineState       `cbor:"5,keyasint"`
}
