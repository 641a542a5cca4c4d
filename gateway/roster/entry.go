package roster

import (
	"time"

	"github.com/ryeford/ryeford"
)

// An Entry is one endpoint of a Roster.
type Entry struct {
	// Endpoint is what the list last said of it, its own State included.
	ryeford.Endpoint
	// Status is what the router believes of it.
	Status Status
	// Hash is the uniform hash of the ID.
	Hash uint64
	// FirstSeen is when the router first saw the endpoint on the list. It is zero
	// if the first list had it: such an endpoint may have served for long.
	FirstSeen time.Time
	// Evacuated endpoints accept no requests, whatever their status: the operators have
	// evacuated their failure domain.
	Evacuated bool
	// Returned is when the last evacuation of its failure domain ended, or zero.
	Returned time.Time
	// ColdUntil is until when the endpoint is cold by its own word, counted from when this router
	// learnt of it.
	ColdUntil time.Time
	// withheld says that the list has the endpoint as ready, and the router knows better.
	withheld bool
	// expires is when an endpoint that is off the list is forgotten.
	expires time.Time
}

// Hindrance returns why the endpoint accepts no new requests, or nothing: it leaves or is not known, which is
// what a nil entry stands for, or its failure domain is evacuated.
func (e *Entry) Hindrance() ryeford.Reason {
	switch {
	case e == nil || !e.Listed():
		return ryeford.ReasonLeaving
	case e.Evacuated:
		return ryeford.ReasonEvacuated
	}
	return ""
}

// Listed reports whether the endpoint accepts new requests, or would if its failure domain were not
// evacuated.
func (e *Entry) Listed() bool { return e.Status.accepts() }

// Accepts reports whether the endpoint accepts new requests.
func (e *Entry) Accepts() bool { return e.Hindrance() == "" }
