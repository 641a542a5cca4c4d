package ryeford

import (
	"fmt"
	"strings"
	"time"
)

// A NotRunError reports that a request failed and provably did not run.
type NotRunError struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries. Zero gives no advice.
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s", e.Reason)
}

// A MayHaveRunError reports that a request failed and may have run, completely or in part.
type MayHaveRunError struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it retries. Zero gives no advice.
	RetryAfter time.Duration
	// Err is the cause. It may be nil.
	Err error
}

func (e *MayHaveRunError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("unknown whether it ran: %s", e.Reason)
	}
	return fmt.Sprintf("unknown whether it ran: %s: %v", e.Reason, e.Err)
}

func (e *MayHaveRunError) Unwrap() error { return e.Err }

// An InputError reports invalid input from a caller or an operator.
type InputError struct {
	Field   string // the header, the setting or the part of the body that is invalid
	Problem string
	// Status is the HTTP status of the response. Zero means 400.
	Status int
}

func (e *InputError) Error() string {
	return e.Field + ": " + e.Problem
}

// A ConflictError reports that a conditional write did not find the expected versions. Nothing
// was written.
type ConflictError struct {
	Keys []string // of the rows whose versions differ
}

func (e *ConflictError) Error() string {
	return "conflict on " + strings.Join(e.Keys, ", ")
}

// An UnavailableError reports that a service of the platform did not answer, or answered
// with an error.
type UnavailableError struct {
	Service string // its name or path
	// MayHaveApplied means that a write may have taken effect or may still do so.
	MayHaveApplied bool
	Err            error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable: %v", e.Service, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// A StatusError reports that a service of the platform or an endpoint answered with an HTTP
// status that is not a success.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// A NotFoundError reports that a named object does not exist.
type NotFoundError struct {
	Kind string // of object, such as "VM"
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q not found", e.Kind, e.Name)
}

// A FenceError reports that an engine refused an Order because it has received one of a newer
// epoch.
type FenceError struct{}

func (e *FenceError) Error() string { return "order refused: the engine has seen a newer epoch" }
