package roster

import (
	"time"

	"github.com/ryeford/ryeford"
)

// An Entry is one endpoint of a Roster.
type Entry struct {
	// Endpoint is the endpoint as last listed, including its listed State.
	ryeford.Endpoint
	// Status is the router's own view of the endpoint.
	Status Status
	// Hash is the uniform hash of the ID.
	Hash uint64
	// FirstSeen is when the router first saw the endpoint on the list. It is zero if the first
	// list had it: such an endpoint may have been serving for a long time.
	FirstSeen time.Time
	// Evacuated reports that the operators have evacuated the endpoint's failure domain: it accepts
	// no requests, whatever its status.
	Evacuated bool
	// EvacuationEnded is when the last evacuation of the failure domain ended, or zero.
	EvacuationEnded time.Time
	// ColdUntil is when the cold period in the endpoint's list entry ends, counted from when this router
	// received the entry.
	ColdUntil time.Time
	// Replaced reports that a later endpoint has the address (replaced.go).
	Replaced bool
	// withheld is set if the endpoint is listed as ready but is withheld (withheld.go).
	withheld bool
	// expires is when an endpoint that is no longer listed is removed.
	expires time.Time
}

// ExclusionReason returns the reason for which the endpoint accepts no new requests, or "" if it accepts
// them. A nil entry means an unknown endpoint, which counts as leaving.
func (e *Entry) ExclusionReason() ryeford.Reason {
	switch {
	case e == nil || !e.Serving() || e.Replaced:
		return ryeford.ReasonLeaving
	case e.Evacuated:
		return ryeford.ReasonEvacuated
	}
	return ""
}

// Serving reports whether the endpoint accepts new requests, apart from an evacuation of its failure
// domain and from a later endpoint at its address.
func (e *Entry) Serving() bool { return e.Status.accepts() }

// Accepts reports whether the endpoint accepts new requests.
func (e *Entry) Accepts() bool { return e.ExclusionReason() == "" }
