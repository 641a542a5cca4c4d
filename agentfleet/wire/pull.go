package wire

import "github.com/ryeford/ryeford"

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
