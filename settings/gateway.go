package settings

import "time"

// A Gateway is the settings of a router on a platform that itself stores the
// operators' configuration and the list of endpoints.
type Gateway struct {
	Identity `yaml:",inline"`
	// Callers is the HTTP/1.1 address for callers.
	Callers Address `yaml:"callers" validate:"required"`
	// Readiness is the HTTP address for the load balancer's readiness probes.
	Readiness Address `yaml:"readiness" validate:"required"`
	// Metrics is the HTTP address of /metrics and /healthz. If it is left out, no
	// metrics are served.
	Metrics Address `yaml:"metrics"`
	// Store is the address of the platform's store. If it is wrong, the gateway
	// stays unready and answers 503.
	Store Address `yaml:"store" validate:"required"`
	// Peers is the UDP address for gossip with the other gateways of the fleet, at
	// which they must reach this one; and the TCP address at which they may read the
	// configuration, with all keys, and the list of endpoints. If it is left out, the gateway
	// exchanges nothing: it reads all from the store itself and estimates loads alone.
	Peers Address `yaml:"peers"`
	// Seeds are the addresses for peers of some other gateways; they may be stale or down. A
	// gateway that starts asks them first, and looks in the store for others only if none answers.
	Seeds []Address `yaml:"seeds"`
	// Memory is the memory that the process may use. The heap is limited to 0.6 of
	// it, the bodies of requests in flight to a quarter. If it exceeds what the
	// platform allows, the process may be killed; if it is too low, bodies wait
	// and the collector takes processor time.
	Memory int `yaml:"memory_mb" unit:"MiB" validate:"min=16,max=1048576"`
	// Bounds are the users' requirements on the fleet; they must be the same for all
	// gateways.
	Bounds GatewayBounds `yaml:"bounds"`
	// Routing is the settings that the gateway may choose freely within the bounds.
	Routing GatewayRouting `yaml:"routing"`
}

// GatewayBounds are the users' requirements on the fleet.
type GatewayBounds struct {
	// Revoke is the time from a key's revocation until no request with it may run.
	// Less 0.5 s it is how long a confirmed configuration may be relied on, and so
	// how long an outage of the store is bridged.
	Revoke time.Duration `yaml:"revoke" validate:"min=500ms,max=1h"`
	// StrictRevoke says that no request with a revoked key may run after revoke, also if
	// the store can't be reached: then requests that need a key are refused. If it is false
	// they are served by the last known configuration in an outage of the store, until a
	// newer one is known; revoked keys work as long.
	StrictRevoke bool `yaml:"strict_revoke"`
	// Contact is how long a router must have reached the store until it is held to
	// all bounds again. It limits endpoints_wait.
	Contact time.Duration `yaml:"contact" validate:"min=100ms,max=10m"`
	// Configuration is the time from the acceptance of a configuration until it is
	// in force at each router. It limits lease_refresh.
	Configuration time.Duration `yaml:"configuration" validate:"min=200ms,max=10m"`
	// Drain is the time from an endpoint's announcement that it leaves until it is
	// sent no new request. It limits endpoints_settle.
	Drain time.Duration `yaml:"drain" validate:"min=200ms,max=10m"`
	// Grace is the time from SIGTERM to the end of the process. If the platform
	// kills sooner, requests in flight are lost.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=1h"`
	// RetryRatio is how many attempts beyond each request's first one all routers
	// together may make, for each service and over retry_window.
	RetryRatio float64 `yaml:"retry_ratio" unit:"part of the requests" validate:"min=0,max=1"`
	// RetryReserve is how many such attempts are allowed however few the requests.
	RetryReserve float64 `yaml:"retry_reserve" unit:"attempts" validate:"min=0,max=1000000"`
	// RetryWindow is the span over which attempts and requests are counted.
	RetryWindow time.Duration `yaml:"retry_window" validate:"min=1s,max=10m"`
	// CapFactor times the mean load, and two requests more, is the load at which
	// an endpoint is full.
	CapFactor float64 `yaml:"cap_factor" unit:"times the mean" validate:"min=1,max=100"`
}

// GatewayRouting is the settings that a gateway may choose freely within the bounds.
type GatewayRouting struct {
	// EndpointsWait is how long the store holds a read for changes of the list of
	// endpoints that has none to report; zero derives it from drain and contact. The longer,
	// the fewer calls; if it and store_timeout exceed contact, a lost read is
	// noticed too late, and if it exceeds drain, a failure of the gateway that reads for all is.
	EndpointsWait time.Duration `yaml:"endpoints_wait" validate:"min=0s,max=30s"`
	// EndpointsSettle is how long the gateway waits after a change of that list
	// before it reads on, so that several changes come in one answer; zero derives
	// it from drain. If it exceeds drain, a leaving endpoint is sent requests for
	// too long.
	EndpointsSettle time.Duration `yaml:"endpoints_settle" validate:"min=0s,max=5s"`
	// LeaseRefresh is the age of the last confirmed configuration at which the
	// gateway reads it again; zero derives it from configuration and revoke. Of
	// gateways that exchange gossip, one reads sooner for all. If it exceeds
	// configuration, changes are in force too late.
	LeaseRefresh time.Duration `yaml:"lease_refresh" validate:"min=0s,max=10m"`
	// StoreTimeout is for how long nothing of a response of the store may come,
	// beyond the time for which it holds the call. A response that keeps coming may
	// take longer.
	StoreTimeout time.Duration `yaml:"store_timeout" validate:"min=50ms,max=30s"`
	// StartPatience is how long after the start of the process requests wait for
	// the first configuration and list of endpoints before they are refused.
	StartPatience time.Duration `yaml:"start_patience" validate:"min=0s,max=10s"`
	// StartSpread is for how long a gateway that starts waits at the most for a peer that tells it
	// the configuration and the list of endpoints, before it reads them from the store; each waits
	// for a part of it that it draws. The longer, the fewer calls when all start at once, and the
	// longer requests wait.
	StartSpread time.Duration `yaml:"start_spread" validate:"min=0s,max=10s"`
	// Routers is the least number of routers among which the retry budget, and what a
	// cold endpoint bears, are divided. If there are more and they don't exchange gossip, the
	// fleet exceeds both.
	Routers int `yaml:"routers" unit:"routers" validate:"min=1,max=10000"`
	// Quarantine says that requests which end what runs them are held once three endpoints have
	// ended. If it is false they are sent on like any other, and endpoints end as often as their
	// callers send them.
	Quarantine bool `yaml:"quarantine"`
}

// DefaultGateway returns a Gateway with the defaults of the optional settings.
func DefaultGateway() *Gateway {
	return &Gateway{
		Memory: 256,
		Bounds: GatewayBounds{
			Revoke:        5 * time.Second,
			StrictRevoke:  true,
			Contact:       3 * time.Second,
			Configuration: 2 * time.Second,
			Drain:         2 * time.Second,
			Grace:         8 * time.Second,
			RetryRatio:    0.2,
			RetryReserve:  50,
			RetryWindow:   10 * time.Second,
			CapFactor:     2,
		},
		Routing: GatewayRouting{
			StoreTimeout:  700 * time.Millisecond,
			StartPatience: 500 * time.Millisecond,
			StartSpread:   40 * time.Millisecond,
			Routers:       10,
			Quarantine:    true,
		},
	}
}
