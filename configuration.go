package ryeford

import "time"

// A RouteKind determines how often a request on a route may run, and how it is answered.
type RouteKind int

// The kinds of routes.
const (
	// RouteAtMostOnce is for requests that must run at most once.
	RouteAtMostOnce RouteKind = iota
	// RouteIdempotent is for requests that may run more than once.
	RouteIdempotent
	// RouteStream is for requests that are answered with an event stream. They run at most
	// once, unless the route is resumable.
	RouteStream
)

// A RouteRule is one route of the operators' configuration.
type RouteRule struct {
	Name string
	Host string
	// Prefix is the path prefix that the route matches. It begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the maximum time to answer a request. Zero uses the router's default.
	Timeout time.Duration
	// Goal is the latency objective: the time within which a response, or a stream's
	// first event, should arrive. Zero means that the route has none.
	Goal time.Duration
	// MaxAttempts is the maximum number of endpoints that one request may be sent to,
	// including the first. It is at least 1.
	MaxAttempts int
	// Priority applies to requests whose account sets no priority.
	Priority Priority
	// Public routes require no key.
	Public bool
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Split lists the services that serve the route, with their weights. It has at least
	// one element.
	Split []WeightedService
}

// Idempotent reports whether a request on the route may run more than once.
func (r *RouteRule) Idempotent() bool {
	return r.Kind == RouteIdempotent || r.Continuable()
}

// Continuable reports whether the route's streams may be continued at another endpoint.
func (r *RouteRule) Continuable() bool { return r.Kind == RouteStream && r.Resumable }

// A WeightedService is one of the services that serve a route. Its share of the route's
// requests is its weight divided by the sum of all weights.
type WeightedService struct {
	Service string
	Weight  int
}

// An AccountRule is one client account of the operators' configuration.
type AccountRule struct {
	Account AccountID
	// Keys are all valid keys of the account. A key that is no longer listed is revoked.
	Keys []string
	// Priority overrides the route's priority, unless it is nil.
	Priority *Priority
}

// A ServiceRule configures the endpoints of one service.
type ServiceRule struct {
	Name string
	// ColdTime is how long an endpoint is cold after its start. ColdRate is the maximum
	// rate of requests, in requests per second from all routers together, that it accepts
	// during that time. Zero means no limit.
	ColdTime time.Duration
	ColdRate float64
}

// RequestLimits limits what a caller may send. A zero field uses the router's default.
type RequestLimits struct {
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration // between two requests of a connection
}

// A Configuration is one version of the operators' complete configuration. Routers send it to
// each other as CBOR under the names of its fields.
type Configuration struct {
	// Version increases with each configuration, not necessarily by one.
	Version int64
	Routes  []RouteRule
	// Accounts is nil if requests need no keys. If it is empty but not nil, no key is valid.
	Accounts []AccountRule
	Services []ServiceRule
	Limits   RequestLimits
}
