package retry

import (
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// maxUnsent is how many attempts of one request may end before anything was
	// sent. They cost the endpoints nothing, so they count neither against the
	// route's MaxAttempts nor against the budget; the bound only keeps a request
	// from walking through a whole failure domain that can't be reached.
	maxUnsent = 4
	// perTryTimeoutFactor is the multiple of a route's latency goal that an
	// attempt may go without the first event of a stream, or the whole of any
	// other response, while another attempt is allowed.
	perTryTimeoutFactor = 1.5
)

// An End is how one attempt ended, and what that proves.
type End int

// The ends of attempts.
const (
	// EndAnswered: the caller has the endpoint's whole response.
	EndAnswered End = iota
	// EndUnsent: nothing was sent to the endpoint, so the request has not run
	// there. Another endpoint may serve it.
	EndUnsent
	// EndBarred: nothing was sent, and nothing may be sent any more: the
	// configuration went stale or the key was revoked after the request came.
	EndBarred
	// EndRefused: the endpoint states that it has not run the request.
	EndRefused
	// EndLost: the request was sent, and no whole response came. It may have run.
	EndLost
	// EndFailed: the endpoint's whole response is a failure that the caller has
	// not been sent. The request may have run.
	EndFailed
	// EndStopped: a response came, but the caller stopped reading it or the
	// deadline passed. The request may have run.
	EndStopped
)

// String returns the code of an end in logs and metrics, of which two stand for two
// ends each.
func (e End) String() string {
	return [...]string{
		EndAnswered: "done",
		EndUnsent:   "unsent",
		EndBarred:   "unsent",
		EndRefused:  "not_run",
		EndLost:     "failed",
		EndFailed:   "failed",
		EndStopped:  "stopped",
	}[e]
}

// MayHaveRun reports whether the endpoint may have run the request.
func (e End) MayHaveRun() bool {
	return e != EndUnsent && e != EndBarred && e != EndRefused
}

// A Policy says when a request is sent again:
//
// A request that provably has not run may go to another endpoint; one that may
// have run, only if its route is idempotent. Either way it is sent at most
// MaxAttempts times, and each attempt after the first needs the service's budget.
//
// The reason is that callers rely on a request that isn't idempotent running at
// most once; and that endpoints that are overloaded or failing must not get a
// multiple of the load.
type Policy struct {
	// Idempotent reports whether the route lets a request run more than once.
	Idempotent bool
	// MaxAttempts is the route's bound on how many times a request is sent.
	MaxAttempts int
	// Goal is the time within which the route's responses are to begin; zero if
	// the route has none.
	Goal time.Duration
}

// ForRoute returns the Policy of a route. It holds for as long as the request is
// served, also if the configuration changes meanwhile.
func ForRoute(rule *ryeford.RouteRule) Policy {
	return Policy{Idempotent: rule.Idempotent(), MaxAttempts: rule.MaxAttempts, Goal: rule.Goal}
}

// A History counts the attempts of one request so far.
type History struct {
	Sent   int // attempts that were sent
	Unsent int // attempts that ended before anything was sent
}

// A Step is what follows an attempt. The zero Step gives the request up.
type Step struct {
	// Again says that the request may go to an endpoint not tried yet.
	Again bool
	// Budgeted says that this takes one retry of the service's budget.
	Budgeted bool
	// AllowTried says that if all endpoints have had an attempt, they may have another.
	// An endpoint that answered at all is better than none: when the last
	// endpoint of a service answered 500 once, 38 idempotent requests ended as 502. One
	// that refused or was lost is not asked again at once.
	AllowTried bool
}

// Next returns what follows an attempt. History includes that attempt; over says
// that the caller has gone or that the request's deadline has passed.
func (p Policy) Next(end End, h History, over bool) Step {
	if over {
		return Step{}
	}
	switch end {
	case EndUnsent:
		return Step{Again: h.Unsent < maxUnsent}
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
	return Step{}
}

// resend returns the Step that sends the request again, if MaxAttempts allows it.
func (p Policy) resend(h History, allowTried bool) Step {
	if h.Sent >= p.MaxAttempts {
		return Step{}
	}
	return Step{Again: true, Budgeted: true, AllowTried: allowTried}
}

// Tries reports whether an attempt may go to an endpoint. Unusable says that a moment ago
// it took no connection, or answered for another endpoint; such a one is chosen only if
// no other is left, and is tried once in case it is back. After an attempt that was not
// sent it isn't, since each costs the caller up to the time to connect, which it has
// then no longer for a return.
func (h History) Tries(unusable bool) bool { return !unusable || h.Unsent == 0 }

// PerTryTimeout returns how long the next attempt may wait for the first event of a
// stream, or for the whole of any other response, before the request is sent to
// another endpoint, and false if it may wait until the request's deadline. A slow
// endpoint is only given up if an attempt after that is allowed: sent is how many
// attempts were sent already.
func (p Policy) PerTryTimeout(sent int) (time.Duration, bool) {
	if !p.Idempotent || p.Goal <= 0 || sent+1 >= p.MaxAttempts {
		return 0, false
	}
	return time.Duration(perTryTimeoutFactor * float64(p.Goal)), true
}
