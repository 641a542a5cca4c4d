package router

import (
	"strconv"
	"strings"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/claim"
)

// An eventID names a chunk of an answer, and the agent that keeps it. Callers
// treat it as opaque.
type eventID struct {
	candidate claim.Candidate
	attempt   ryeford.AttemptID
	offset    int64
}

// String returns the id as callers see it.
func (e *eventID) String() string {
	return strings.Join([]string{
		string(e.candidate.VM),
		string(e.candidate.Incarnation),
		string(e.attempt),
		strconv.FormatInt(e.offset, 10),
	}, "/")
}

// parseEventID returns the id that a caller sent.
func parseEventID(text string) (*eventID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 {
		return nil, &ryeford.InputError{Field: HeaderLastEvent, Problem: "not the id of an event"}
	}
	offset, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || offset < 0 {
		return nil, &ryeford.InputError{Field: HeaderLastEvent, Problem: "not the id of an event"}
	}
	return &eventID{
		candidate: claim.Candidate{VM: ryeford.VMID(parts[0]), Incarnation: ryeford.Incarnation(parts[1])},
		attempt:   ryeford.AttemptID(parts[2]),
		offset:    offset,
	}, nil
}
