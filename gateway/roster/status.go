package roster

import (
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// suspectTTL is how long an endpoint stays suspect. Endpoints whose entries
	// lapsed in an outage of the store have written them again about two seconds
	// after its return. Before, it was 2.5 s and for more cases: DRAIN was broken
	// on trouble-1 seed 280933027115 (a37ab61, docs/findings.md).
	suspectTTL = 2 * time.Second
	// departedTTL is how long an endpoint that left the list without draining may
	// still serve cached prefixes to others: it drains for as long as one that
	// announced it, and its address is not given to another endpoint sooner. Set by
	// the runs of dcd1a11 (docs/design.md, "stay sources for 1.8 s"): no other value
	// was tried.
	departedTTL = 1800 * time.Millisecond
)

// TTLs are how long endpoints are kept that are off the list.
type TTLs struct {
	Suspect, Departed time.Duration
}

// DefaultTTLs returns the times of the gateway.
func DefaultTTLs() TTLs { return TTLs{Suspect: suspectTTL, Departed: departedTTL} }

// A Status is what a router believes of an endpoint.
type Status int

// The statuses. Ready and suspect endpoints accept requests; draining and departed
// ones only serve cached prefixes to others.
const (
	// StatusReady and StatusDraining endpoints are on the list, which says so.
	StatusReady Status = iota
	StatusDraining
	// StatusSuspect endpoints were ready and are missing from the first list after
	// an outage: the list may have lost them only because they could not renew
	// their entries either.
	StatusSuspect
	// StatusDeparted endpoints were ready and left the list without draining.
	StatusDeparted
	// StatusGone endpoints are forgotten at once.
	StatusGone
)

// accepts reports whether an endpoint with the status accepts requests.
func (s Status) accepts() bool { return s == StatusReady || s == StatusSuspect }

// expires reports whether an endpoint with the status is off the list, and so kept
// only for a time.
func (s Status) expires() bool { return s == StatusSuspect || s == StatusDeparted }

// ttl returns how long an endpoint with the status is kept off the list.
func (t TTLs) ttl(s Status) time.Duration {
	if s == StatusSuspect {
		return t.Suspect
	}
	return t.Departed
}

// listedStatus returns the status of an endpoint that the list names.
func listedStatus(state ryeford.EndpointState) Status {
	if state == ryeford.EndpointDraining {
		return StatusDraining
	}
	return StatusReady
}

// droppedStatus returns the status of an endpoint that the list no longer names.
// afterOutage says that this is the first list since the store was out of reach.
//
// An endpoint that announced that it drains is gone with its entry. A ready one becomes
// suspect after an outage, and departed at any other time. A suspect one that a
// later list lacks, too, is gone.
func droppedStatus(status Status, afterOutage bool) Status {
	switch {
	case status == StatusDraining || status == StatusDeparted:
		return StatusGone
	case afterOutage:
		return StatusSuspect
	case status == StatusSuspect:
		return StatusGone
	}
	return StatusDeparted
}
