package roster

import (
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// suspectDuration is how long after an outage of the source an endpoint may be suspect: endpoints
	// whose entries have expired write them again within this time.
	suspectDuration = 2 * time.Second
	// suspectMargin is the margin between the end of the suspect period and the time from which the
	// router's freshness bounds apply again. It covers the request path to the endpoint.
	suspectMargin = 100 * time.Millisecond
	// minOutageForExpiry is the shortest observed outage in which entries may have expired. It is shorter
	// than the TTL of an entry, since a router that pauses after a change of the
	// list may notice an outage up to a second late. It excludes single failed calls.
	minOutageForExpiry = 500 * time.Millisecond
	// departedTTL is how long an endpoint that was removed from the list without draining may still
	// serve cached prefixes to others: it shuts down no faster than one that announced draining, and
	// its address is not reassigned sooner.
	departedTTL = 1800 * time.Millisecond
)

// SuspectUntil returns when endpoints that are missing from the list after a downtime of its source stop
// being suspect. It returns the zero time if the downtime was too short for entries to expire. contact is
// how long after the last failed read the router's freshness bounds apply again (bounds.contact); no
// endpoint is suspect from then on.
//
// The time is fixed once for each downtime. It applies to all endpoints that the list loses until then.
func SuspectUntil(downtime *ryeford.Downtime, contact time.Duration) time.Time {
	if downtime.Duration() < minOutageForExpiry {
		return time.Time{}
	}
	return SuspectUntilAfterRestore(downtime, contact)
}

// SuspectUntilAfterRestore is like SuspectUntil, for a source that was restored from a backup. It has no
// minimum downtime: the backup lacks endpoints that registered after it was made, until they write their
// entries again.
func SuspectUntilAfterRestore(downtime *ryeford.Downtime, contact time.Duration) time.Time {
	until := downtime.Ended.Add(suspectDuration)
	if latest := downtime.LastFailed.Add(contact - suspectMargin); latest.Before(until) {
		return latest
	}
	return until
}

// A Status is a router's view of an endpoint.
type Status int

// The statuses. Ready and suspect endpoints accept requests; draining and departed ones only serve cached
// prefixes to others.
const (
	// StatusReady and StatusDraining are the states of listed endpoints.
	StatusReady Status = iota
	StatusDraining
	// StatusSuspect endpoints were ready and are missing from the list shortly after an outage, in
	// which they may have been unable to renew their entries.
	StatusSuspect
	// StatusDeparted endpoints were ready and were removed from the list without draining.
	StatusDeparted
	// StatusGone endpoints are removed immediately.
	StatusGone
)

func (s Status) accepts() bool { return s == StatusReady || s == StatusSuspect }

// expires reports whether an endpoint with the status is unlisted and kept only for a limited time.
func (s Status) expires() bool { return s == StatusSuspect || s == StatusDeparted }

// listedStatus returns the status of an endpoint that is listed with a state.
func listedStatus(state ryeford.EndpointState) Status {
	if state == ryeford.EndpointDraining {
		return StatusDraining
	}
	return StatusReady
}

// droppedStatus returns the status of an endpoint that is no longer listed. mayHaveExpired reports that its
// entry may be missing because of an outage (SuspectUntil).
//
// An endpoint that announced draining is gone with its entry. A ready one becomes suspect shortly after an
// outage, and departed at any other time. A suspect one is gone if it is removed again after the suspect
// period.
func droppedStatus(status Status, mayHaveExpired bool) Status {
	switch {
	case status == StatusDraining || status == StatusDeparted:
		return StatusGone
	case mayHaveExpired:
		return StatusSuspect
	case status == StatusSuspect:
		return StatusGone
	}
	return StatusDeparted
}
