package roster

import (
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// suspectDuration is how long after the end of an outage an endpoint may be suspect.
	// Endpoints whose entries lapsed in an outage of the store have written them again
	// about two seconds after its return.
	suspectDuration = 2 * time.Second
	// suspectMargin is left between the last moment at which an endpoint may be suspect
	// and the one from which the router is held to its bounds again: for the way of a
	// request to the endpoint.
	suspectMargin = 100 * time.Millisecond
	// minOutageForLapse is the shortest outage in which entries may have lapsed. They lapse after
	// three heartbeats (1.2 s each on the users' sites), but a router that pauses after
	// a change (settings, SettleEndpoints) notices up to a second of an outage late.
	// Shorter ones are single calls that the store rejects or resets.
	minOutageForLapse = 500 * time.Millisecond
	// departedTTL is how long an endpoint that left the list without draining may
	// still serve cached prefixes to others: it drains for as long as one that
	// announced it, and its address is not given to another endpoint sooner.
	departedTTL = 1800 * time.Millisecond
)

// SuspectUntil returns until when an endpoint that is missing from the list after a
// downtime of its source may be alive, or the zero time if entries can't have lapsed in
// so short a time. contact is how long after the end of an outage the router is held to
// its bounds again (bounds.contact): no endpoint is suspect then.
//
// The time is fixed once for a downtime. Whatever the list loses until then, in its
// first answer or in a later one, is not believed in for longer.
func SuspectUntil(downtime *ryeford.Downtime, contact time.Duration) time.Time {
	if downtime.Length() < minOutageForLapse {
		return time.Time{}
	}
	return RestoredUntil(downtime, contact)
}

// RestoredUntil is SuspectUntil for a source that is back from a copy: however short the downtime
// was, the copy lacks the endpoints that are younger, until they write again.
func RestoredUntil(downtime *ryeford.Downtime, contact time.Duration) time.Time {
	until := downtime.Ended.Add(suspectDuration)
	if latest := downtime.LastFailed.Add(contact - suspectMargin); latest.Before(until) {
		return latest
	}
	return until
}

// A Status is what a router believes of an endpoint.
type Status int

// The statuses. Ready and suspect endpoints accept requests; draining and departed
// ones only serve cached prefixes to others.
const (
	// StatusReady and StatusDraining endpoints are on the list, which says so.
	StatusReady Status = iota
	StatusDraining
	// StatusSuspect endpoints were ready and are missing from the list shortly after an
	// outage: it may have lost them only because they could not renew their entries
	// either.
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

// listedStatus returns the status of an endpoint that the list names.
func listedStatus(state ryeford.EndpointState) Status {
	if state == ryeford.EndpointDraining {
		return StatusDraining
	}
	return StatusReady
}

// droppedStatus returns the status of an endpoint that the list no longer names.
// mayHaveLapsed says that its entry may be missing because of an outage (SuspectUntil).
//
// An endpoint that announced that it drains is gone with its entry. A ready one becomes
// suspect shortly after an outage, and departed at any other time. A suspect one that a
// list drops again, later than that, is gone.
func droppedStatus(status Status, mayHaveLapsed bool) Status {
	switch {
	case status == StatusDraining || status == StatusDeparted:
		return StatusGone
	case mayHaveLapsed:
		return StatusSuspect
	case status == StatusSuspect:
		return StatusGone
	}
	return StatusDeparted
}
