package router

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A request is one request of a caller: a chat completion, a call of a plain service,
// or the rest of an answer that the caller has a part of.
type request struct {
	id         ryeford.RequestID
	account    ryeford.AccountID
	chat       ryeford.ChatID // orders the engines; the request's id if the caller named none
	priority   ryeford.Priority
	share      float64 // of the account's template, above 0 and up to 1
	repeatable bool    // running it twice does no harm
	key        string  // the caller's idempotency key
	digest     string  // of method, path and body
	deadline   time.Time
	stream     bool // answer as an event stream

	model string // whose engines' mean load counts

	// Exactly one is set.
	completion *ryeford.Completion
	call       *ryeford.Call

	service string // that call goes to
}

// claimed reports whether the request needs a claim on its key: it may not run twice,
// and its caller may send it again.
func (req *request) claimed() bool { return !req.repeatable && req.key != "" }

// within returns the time after limit from now, or the request's deadline if that is
// earlier.
func (req *request) within(limit time.Duration) time.Time {
	at := time.Now().Add(limit)
	if req.deadline.Before(at) {
		return req.deadline
	}
	return at
}
