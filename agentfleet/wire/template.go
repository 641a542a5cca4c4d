package wire

import "github.com/ryeford/ryeford"

// A Pull asks a peer for the templates above a revision.
type Pull struct {
	Revision int64 `cbor:"1,keyasint"`
}

// A Delta holds all templates above the asked revision, up to Revision.
type Delta struct {
	Revision  int64              `cbor:"1,keyasint"`
	Templates []ryeford.Template `cbor:"2,keyasint,omitempty"`
}
