package ryeford

import "time"

// A RouteKind says what a caller's request on a route allows the system to do.
type RouteKind int

// The kinds of routes.
const (
	// RouteAtMostOnce marks requests that run at most once.
	RouteAtMostOnce RouteKind = iota
	// RouteIdempotent marks requests that may run more than once.
	RouteIdempotent
	// RouteStream marks requests that are answered with a stream of events.
	RouteStream
)

// A RouteRule is one route of the operators' configuration.
type RouteRule struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   RouteKind
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// Goal is the time within which an answer, or a stream's first event,
	// earns its full worth.
	Goal time.Duration
	// MaxAttempts is the greatest number of endpoints that one request may be
	// sent to.
	MaxAttempts int
	// Priority is that of the route's requests.
	Priority Priority
	// Public routes need no key.
	Public bool
	// Resumable streams may be taken up at another endpoint.
	Resumable bool
	// Split names the services that serve the route, with their weights.
	Split []WeightedService
}

// Idempotent reports whether a request on the route may run more than once.
func (r *RouteRule) Idempotent() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// A WeightedService is one of the services that serve a route.
type WeightedService struct {
	Service string
	Weight  int
}

// An AccountRule is one client account of the operators' configuration.
type AccountRule struct {
	Account AccountID
	Keys    []string
	// Priority replaces the route's, unless it is nil.
	Priority *Priority
}

// RequestLimits bound what a caller may send.
type RequestLimits struct {
	MaxBody       int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Configuration is all that operators have set, as of one version.
type Configuration struct {
	Version int64
	Routes  []RouteRule
	// Accounts is nil if requests carry no keys.
	Accounts []AccountRule
	Limits   RequestLimits
}
