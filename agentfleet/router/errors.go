package router

import (
	"errors"

	"github.com/ryeford/ryeford"
)

// A ProtocolError says that an agent's message is no reply to what it was sent.
type ProtocolError struct{}

// Error returns the text of e.
func (e *ProtocolError) Error() string { return "unexpected message" }

// An EngineError carries what an engine, or its agent, said of a failure.
type EngineError struct {
	Text string
}

// Error returns the text of e.
func (e *EngineError) Error() string { return e.Text }

// reasonOf returns the reason of a failure.
func reasonOf(err error) ryeford.Reason {
	var unknown *ryeford.MayHaveRunError
	if errors.As(err, &unknown) {
		return unknown.Reason
	}
	var notRun *ryeford.NotRunError
	if errors.As(err, &notRun) {
		return notRun.Reason
	}
	return ryeford.ReasonEngineError
}
