package ryeford

import "time"

// An Assignment says what one engine is to serve, and from when to load it.
type Assignment struct {
	Engine EngineID `cbor:"1,keyasint" json:"engine"`
	VM     VMID     `cbor:"2,keyasint" json:"vm"`
	Pools  []Pool   `cbor:"3,keyasint" json:"pools"`
	// Start is when to begin to load the pools; zero stands for at once.
	Start time.Time `cbor:"4,keyasint,omitzero" json:"start,omitzero"`
	// Reason is the planner's, for its log and the operators.
	Reason string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// A Plan is the placement of models on the engines of the fleet. A plan of a
// higher epoch, or of the same epoch and a higher sequence, supersedes another.
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
