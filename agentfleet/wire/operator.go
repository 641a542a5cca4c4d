package wire

import "github.com/ryeford/ryeford"

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
