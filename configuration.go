package ryeford

import "time"

// A RouteKind says how often a caller's request on a route may run, and how it is
// answered.
type RouteKind int

// The kinds of routes.
const (
	// RouteAtMostOnce marks requests that run at most once.
	RouteAtMostOnce RouteKind = iota
	// RouteIdempotent marks requests that may run more than once.
	RouteIdempotent
	// RouteStream marks requests that are answered with a stream of events. They run
	// at most once, unless the route is resumable.
	RouteStream
)

// A RouteRule is one route of the operators' configuration.
type RouteRule struct {
	Name string
	Host string
	// Prefix is that of the paths; it begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a request is held. Zero leaves the router's own
	// default.
	Timeout time.Duration
	// Goal is the latency objective: the time within which a response, or a stream's
	// first event, is to come. Zero stands for none.
	Goal time.Duration
	// MaxAttempts is the greatest number of endpoints that one request may be sent
	// to, including the first; it is 1 or more.
	MaxAttempts int
	// Priority is that of requests whose account has none of its own.
	Priority Priority
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Split names the services that serve the route, with their weights; it has one
	// or more.
	Split []WeightedService
}

// Idempotent reports whether a request on the route may run more than once.
func (r *RouteRule) Idempotent() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// A WeightedService is one of the services that serve a route. Its share of the
// requests is its weight among the sum of all.
type WeightedService struct {
	Service string
	Weight  int
}

// An AccountRule is one client account of the operators' configuration.
type AccountRule struct {
	Account AccountID
	// Keys are all keys of the account; a key that is no longer listed is revoked.
	Keys []string
	// Priority replaces the route's, unless it is nil.
	Priority *Priority
}

// A ServiceRule is what the operators say of a service's endpoints.
type ServiceRule struct {
	Name string
	// ColdTime is how long an endpoint is cold after its start, and ColdRate how many requests a
	// second, of all routers, it bears meanwhile. Zero stands for no such bound.
	ColdTime time.Duration
	ColdRate float64
}

// RequestLimits bound what a caller may send. Zero stands for the router's default.
type RequestLimits struct {
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // between two requests of a connection
}

// A Configuration is all that operators have set, as of one version.
type Configuration struct {
	// Version rises with each configuration, in uneven steps.
	Version int64
	Routes  []RouteRule
	// Accounts is nil if requests carry no keys. If it is empty, no key is valid.
	Accounts []AccountRule
	Services []ServiceRule
	Limits   RequestLimits
}
