package router

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// A turn is one request of a caller.
type request struct {
	id         ryeford.RequestID
	account    ryeford.AccountID
	chat       ryeford.ChatID
	priority   ryeford.Priority
	share      float64
	repeatable bool
	key        string // the caller's idempotency key
	digest     string // of what is asked for
	deadline   time.Time
	stream     bool

	model      string // by which loads are averaged
	completion *ryeford.Completion
	service    string
	call       *ryeford.Call
}

// claimed reports whether the turn needs a claim: it may not be repeated, and
// its caller may send it again.
func (req *request) claimed() bool { return !req.repeatable && req.key != "" }

// targets returns the engines, or the service's instances, that can serve t.
func (r *Router) targets(req *request) *route.Set {
	if req.call != nil {
		return r.fleet.service(req.service)
	}
	return r.fleet.pool(req.completion.Pool)
}
