package retry

import (
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// maxUnsent is how many attempts of one request may end before anything was
	// sent. They put no load on endpoints, so they count neither against the route's
	// MaxAttempts nor against the budget. The limit keeps a request from trying every
	// endpoint of an unreachable failure domain.
	maxUnsent = 4
	// perTryTimeoutFactor is the timeout of an attempt as a multiple of the route's latency
	// goal, if another attempt is allowed. It covers the time until the first event of a
	// stream, or until the end of any other response.
	perTryTimeoutFactor = 1.5
)

// An End is how an attempt ended.
type End int

// Ends of attempts.
const (
	// EndAnswered: the caller has received the endpoint's complete response.
	EndAnswered End = iota
	// EndUnsent: nothing was sent to the endpoint, so the request has not run
	// there. Another endpoint may serve it.
	EndUnsent
	// EndForbidden: nothing was sent, and nothing may be sent any more, since the configuration
	// became stale or the key was revoked after the request arrived.
	EndForbidden
	// EndRefused: the endpoint states that it has not run the request.
	EndRefused
	// EndLost: the request was sent, but no complete response arrived. It may have run.
	EndLost
	// EndFailed: the endpoint's complete response is a failure, which was not forwarded to
	// the caller. The request may have run.
	EndFailed
	// EndStopped: a response arrived, but the caller stopped reading it or the
	// deadline passed. The request may have run.
	EndStopped
)

// String returns the code of an end in logs and metrics. Some ends share a code.
func (e End) String() string {
	return [...]string{
		EndAnswered:  "done",
		EndUnsent:    "unsent",
		EndForbidden: "unsent",
		EndRefused:   "not_run",
		EndLost:      "failed",
		EndFailed:    "failed",
		EndStopped:   "stopped",
	}[e]
}

// MayHaveRun reports whether the endpoint may have run the request.
func (e End) MayHaveRun() bool {
	return e != EndUnsent && e != EndForbidden && e != EndRefused
}

// A Policy decides when a request is sent again.
//
// Rule: a request that has provably not run may be sent to another endpoint. One that may
// have run may be sent again only if its route is idempotent. In both cases it is sent at most
// MaxAttempts times, and each retry takes one from the service's budget.
//
// Why: callers rely on a request that isn't idempotent running at most once, and retries must
// not multiply the load of endpoints that are overloaded or failing.
type Policy struct {
	// Idempotent reports whether requests of the route may run more than once.
	Idempotent bool
	// MaxAttempts is the route's limit on how often a request is sent.
	MaxAttempts int
	// Goal is the route's latency goal, zero if it has none.
	Goal time.Duration
}

// ForRoute returns the Policy of a route. A request keeps its Policy even if the configuration
// changes while it is served.
func ForRoute(rule *ryeford.RouteRule) Policy {
	return Policy{Idempotent: rule.Idempotent(), MaxAttempts: rule.MaxAttempts, Goal: rule.Goal}
}

// A History counts the previous attempts of one request.
type History struct {
	Sent   int // attempts that were sent
	Unsent int // attempts that ended before anything was sent
}

// A Decision is what follows an attempt. The zero Decision means that the request is given up.
type Decision struct {
	// Retry reports that the request may be sent to an endpoint not yet tried.
	Retry bool
	// Budgeted reports that this takes one retry from the service's budget.
	Budgeted bool
	// AllowTried reports that an endpoint may be tried again if all have been tried. This holds
	// only for endpoints that responded with a failure, not for those that refused the request or
	// whose response was lost.
	AllowTried bool
}

// Next returns what follows an attempt. h includes that attempt. done reports that the caller
// has disconnected or that the request's deadline has passed.
func (p Policy) Next(end End, h History, done bool) Decision {
	if done {
		return Decision{}
	}
	switch end {
	case EndUnsent:
		return Decision{Retry: h.Unsent < maxUnsent}
	case EndRefused:
		return p.resend(h, false)
	case EndLost:
		if p.Idempotent {
			return p.resend(h, false)
		}
	case EndFailed:
		if p.Idempotent {
			return p.resend(h, true)
		}
	}
	return Decision{}
}

// resend returns the Decision that sends the request again, if MaxAttempts allows it.
func (p Policy) resend(h History, allowTried bool) Decision {
	if h.Sent >= p.MaxAttempts {
		return Decision{}
	}
	return Decision{Retry: true, Budgeted: true, AllowTried: allowTried}
}

// MayTry reports whether an attempt may go to an endpoint. unusable reports that the endpoint
// recently accepted no connection or responded as another endpoint. Such an endpoint is chosen only
// if no other is left, and is tried once in case it has recovered. It is not tried after an unsent
// attempt: each costs the caller up to the connection timeout, which is then missing for its own
// retry.
func (h History) MayTry(unusable bool) bool { return !unusable || h.Unsent == 0 }

// PerTryTimeout returns how long the next attempt may wait for the first event of a stream, or for
// the end of any other response, before the request is sent to another endpoint. It returns false
// if the attempt may wait until the request's deadline, because the route has no goal or no further
// attempt is allowed. sent is the number of attempts already sent.
func (p Policy) PerTryTimeout(sent int) (time.Duration, bool) {
	if !p.Idempotent || p.Goal <= 0 || sent+1 >= p.MaxAttempts {
		return 0, false
	}
	return time.Duration(perTryTimeoutFactor * float64(p.Goal)), true
}
