package ryeford

import (
	"fmt"
	"strings"
	"time"
)

// A NotRunError says that a request provably did not run.
type NotRunError struct {
	Reason Reason
	// RetryAfter is when the caller should try again; zero leaves it to the caller.
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s", e.Reason)
}

// A MayHaveRunError says that a request may have run, whole or in part.
type MayHaveRunError struct {
	Reason Reason
	// RetryAfter is when the caller should try again; zero leaves it to the caller.
	RetryAfter time.Duration
	// Err is the cause; nil if Reason says all.
	Err error
}

func (e *MayHaveRunError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("unknown whether it ran: %s", e.Reason)
	}
	return fmt.Sprintf("unknown whether it ran: %s: %v", e.Reason, e.Err)
}

func (e *MayHaveRunError) Unwrap() error { return e.Err }

// An InputError says what is wrong with something that a caller or an operator
// sent.
type InputError struct {
	Field   string // the header, setting or part of the body that is wrong
	Problem string
	// Status is the HTTP status of the response; zero stands for 400.
	Status int
}

func (e *InputError) Error() string {
	return e.Field + ": " + e.Problem
}

// A ConflictError says that a conditional write found other versions, and wrote
// nothing.
type ConflictError struct {
	Keys []string // of the rows whose versions differ
}

func (e *ConflictError) Error() string {
	return "conflict on " + strings.Join(e.Keys, ", ")
}

// An UnavailableError says that a service of the platform did not answer, or not as
// it should.
type UnavailableError struct {
	Service string // its name or path
	// MayHaveApplied says that a write may have taken effect, now or soon.
	MayHaveApplied bool
	Err            error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s unavailable: %v", e.Service, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// A StatusError says that a service of the platform or an endpoint answered with an
// HTTP status other than a success.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// A NotFoundError says that a named thing does not exist.
type NotFoundError struct {
	Kind string // of thing, such as "VM"
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q not found", e.Kind, e.Name)
}

// A FenceError says that an order was older than one that the engine has seen.
type FenceError struct{}

func (e *FenceError) Error() string { return "order refused: one of a newer epoch was seen" }
