package ryeford

import "time"

// An Assignment is the set of pools that one engine should serve, and when to load them.
type Assignment struct {
	Engine EngineID `cbor:"1,keyasint" json:"engine"`
	VM     VMID     `cbor:"2,keyasint" json:"vm"`
	Pools  []Pool   `cbor:"3,keyasint" json:"pools"`
	// Start is when to start loading the pools. Zero means immediately.
	Start time.Time `cbor:"4,keyasint,omitzero" json:"start,omitzero"`
	// Reason is the planner's reason, for its log and the operators.
	Reason string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// A Plan is the placement of models on the engines of the fleet. It supersedes plans of a
// lower epoch, and plans of the same epoch with a lower sequence.
type Plan struct {
	Epoch       int64        `cbor:"1,keyasint" json:"epoch"`    // of the planner's lease
	Sequence    int64        `cbor:"2,keyasint" json:"sequence"` // within the epoch
	Assignments []Assignment `cbor:"3,keyasint" json:"assignments"`
}

// Newer reports whether p supersedes other, which may be nil.
func (p *Plan) Newer(other *Plan) bool {
	if other == nil {
		return true
	}
	if p.Epoch != other.Epoch {
		return p.Epoch > other.Epoch
	}
	return p.Sequence > other.Sequence
}
