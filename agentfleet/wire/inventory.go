package wire

import "github.com/ryeford/ryeford"

// A Watch asks an agent for its inventory, now and at each change.
type Watch struct {
	Router ryeford.VMID `cbor:"1,keyasint"`
}

// An EngineState is what an agent says of one of its engines.
type EngineState struct {
	ID      ryeford.EngineID `cbor:"1,keyasint"`
	Service string           `cbor:"2,keyasint,omitempty"`
	Pools   []ryeford.Pool   `cbor:"3,keyasint,omitempty"`
	Load    float64          `cbor:"4,keyasint"`
}

// An Inventory is what an agent says of itself.
type Inventory struct {
	VM            ryeford.VMID        `cbor:"1,keyasint"`
	Incarnation   ryeford.Incarnation `cbor:"2,keyasint"`
	FailureDomain string              `cbor:"3,keyasint"`
	Leaving       bool                `cbor:"4,keyasint"`
	Engines       []EngineState       `cbor:"5,keyasint"`
}
