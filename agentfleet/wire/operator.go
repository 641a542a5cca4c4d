package wire

import "github.com/ryeford/ryeford"

// An Explain asks for the decisions on a request.
type Explain struct {
	Request ryeford.RequestID `cbor:"1,keyasint"`
}

// Decisions holds the log lines of decisions.
type Decisions struct {
	Lines []string `cbor:"1,keyasint"`
}

// A Leave tells an agent that its VM is to stop.
type Leave struct{}

// A Done ends an exchange that has no other answer.
type Done struct{}
