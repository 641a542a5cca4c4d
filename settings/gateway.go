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
	// Peers is the address for the other gateways of the fleet, which must be able
	// to reach it: over UDP for gossip, and over TCP to read the configuration,
	// including all keys, and the list of endpoints. If it is left out, the gateway
	// exchanges nothing with others: it reads everything from the store and
	// estimates loads from its own requests.
	Peers Address `yaml:"peers"`
	// Seeds are the peer addresses of some other gateways; they may be stale or
	// down. A starting gateway asks them first, and looks up others in the store
	// only if none answers.
	Seeds []Address `yaml:"seeds"`
	// FirstStart means that no gateway of the fleet has run before, so that no caller
	// can take up a stream that began earlier. If it is wrongly set, such a stream may
	// be continued at another software version than the one that began it.
	FirstStart bool `yaml:"first_start"`
	// Memory is the memory that the process may use. The heap is limited to 0.6 of
	// it, the bodies of requests in flight to a quarter. If it exceeds what the
	// platform allows, the process may be killed; if it is too low, request bodies
	// wait and garbage collection takes processor time.
	Memory int `yaml:"memory_mb" unit:"MiB" validate:"min=16,max=1048576"`
	// Bounds are the users' requirements on the fleet; they must be the same for all
	// gateways.
	Bounds GatewayBounds `yaml:"bounds"`
	// Routing is the settings that the gateway may choose freely within the bounds.
	Routing GatewayRouting `yaml:"routing"`
}

// GatewayBounds are the users' requirements on the fleet.
type GatewayBounds struct {
	// Revoke is the longest time from a key's revocation until requests with it no
	// longer run. A confirmed configuration may be used for this time less 0.5 s,
	// which is also how long an outage of the store is bridged.
	Revoke time.Duration `yaml:"revoke" validate:"min=500ms,max=1h"`
	// StrictRevoke enforces revoke also while the store can't be reached: requests
	// that need a key are then refused. If it is false, they are served by the last
	// known configuration during an outage of the store, and revoked keys keep
	// working, until a newer configuration is reported or may exist.
	StrictRevoke bool `yaml:"strict_revoke"`
	// Contact is how long a router must have been in contact with the store before
	// all bounds apply to it again. It limits endpoints_wait.
	Contact time.Duration `yaml:"contact" validate:"min=100ms,max=10m"`
	// Configuration is the longest time from the acceptance of a configuration until
	// it is in force at every router. It limits lease_refresh.
	Configuration time.Duration `yaml:"configuration" validate:"min=200ms,max=10m"`
	// Drain is the longest time from an endpoint's announcement that it leaves until
	// it is sent no new requests. It limits endpoints_settle.
	Drain time.Duration `yaml:"drain" validate:"min=200ms,max=10m"`
	// Grace is the longest time from SIGTERM to the end of the process. If the
	// platform kills the process sooner, requests in flight are lost.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=1h"`
	// RetryRatio is the number of attempts beyond each request's first one that all
	// routers together may make, as a share of the requests, for each service and
	// within retry_window.
	RetryRatio float64 `yaml:"retry_ratio" unit:"part of the requests" validate:"min=0,max=1"`
	// RetryReserve is the number of such attempts that are always allowed, however
	// few requests there are.
	RetryReserve float64 `yaml:"retry_reserve" unit:"attempts" validate:"min=0,max=1000000"`
	// RetryWindow is the window in which attempts and requests are counted.
	RetryWindow time.Duration `yaml:"retry_window" validate:"min=1s,max=10m"`
	// CapFactor times the mean load, plus two requests, is the load above which an
	// endpoint is full.
	CapFactor float64 `yaml:"cap_factor" unit:"times the mean" validate:"min=1,max=100"`
}

// GatewayRouting is the settings that a gateway may choose freely within the bounds.
type GatewayRouting struct {
	// EndpointsWait is how long the store holds a read for changes of the list of
	// endpoints while there are none; zero derives it from drain, contact and
	// store_timeout. The longer, the fewer calls. If it and store_timeout together
	// exceed contact, a lost read is noticed too late; if it exceeds drain, so is a
	// failure of the gateway that reads for all.
	EndpointsWait time.Duration `yaml:"endpoints_wait" validate:"min=0s,max=30s"`
	// EndpointsSettle is how long the gateway waits after a change of that list
	// before its next read, so that one read returns several changes; zero derives
	// it from drain. If it exceeds drain, a leaving endpoint is sent requests for
	// too long.
	EndpointsSettle time.Duration `yaml:"endpoints_settle" validate:"min=0s,max=5s"`
	// LeaseRefresh is the age at which the gateway reads the last confirmed
	// configuration again; zero derives it from configuration and revoke. Of
	// gateways that exchange gossip, one reads it earlier on behalf of all. If it
	// exceeds configuration, changes come into force too late.
	LeaseRefresh time.Duration `yaml:"lease_refresh" validate:"min=0s,max=10m"`
	// StoreTimeout is the longest time without progress in a response of the store,
	// in addition to the time for which it holds the call. A response that keeps
	// arriving may take longer.
	StoreTimeout time.Duration `yaml:"store_timeout" validate:"min=50ms,max=30s"`
	// StartTimeout is how long after the start of the process requests wait for the
	// first configuration and list of endpoints before they are refused.
	StartTimeout time.Duration `yaml:"start_patience" validate:"min=0s,max=10s"`
	// StartSpread is the longest time that a starting gateway waits for a peer to
	// send it the configuration and the list of endpoints, before it reads them from
	// the store; each waits for a random part of it. The longer, the fewer calls
	// when all start at once, and the longer requests wait.
	StartSpread time.Duration `yaml:"start_spread" validate:"min=0s,max=10s"`
	// Routers is the lowest number of routers among which the retry budget, and the
	// load allowed on a cold endpoint, are divided. If there are more and they don't
	// exchange gossip, the fleet exceeds both.
	Routers int `yaml:"routers" unit:"routers" validate:"min=1,max=10000"`
	// StreamMemory is how long routers remember which software version began a
	// stream, counted from its begin or the last time that a caller took it up, while
	// several versions serve; twice the longest timeout of a route whose streams may
	// be continued, if that is longer. A stream that is taken up later may be
	// rejected, or continued at another version.
	StreamMemory time.Duration `yaml:"stream_memory" validate:"min=1s,max=1h"`
	// StreamRecords is the number of streams of which a gateway remembers at most
	// which software version began them, its peers' streams included; each takes
	// some 200 bytes. If it is too low, streams that are taken up are rejected.
	StreamRecords int `yaml:"stream_records" unit:"streams" validate:"min=100,max=10000000"`
	// Quarantine holds poison requests, which end the endpoints that run them, once
	// three endpoints have ended. If it is false, they are sent on like any other
	// request, and endpoints end as often as callers send them.
	Quarantine bool `yaml:"quarantine"`
	// QuarantineParts holds requests for a part of their prompts, too, if requests
	// with that part have ended three endpoints. If it is false, or quarantine is,
	// endpoints end as often as callers send new requests with such a part.
	QuarantineParts bool `yaml:"quarantine_parts"`
	// ConcurrencyLimits limits the requests for services whose endpoints list slots
	// and report no load, and whose routes have a goal. If it is false, such a
	// service's endpoints queue and reject what they can't answer in time.
	ConcurrencyLimits bool `yaml:"concurrency_limits"`
	// FairShares gives the room of an overloaded service to the higher priorities
	// first, and within a priority in equal shares to the client accounts. If it is
	// false, all requests are rejected alike.
	FairShares bool `yaml:"fair_shares"`
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
			StoreTimeout:    700 * time.Millisecond,
			StartTimeout:    500 * time.Millisecond,
			StartSpread:     40 * time.Millisecond,
			Routers:         10,
			Quarantine:      true,
			QuarantineParts: true,

			StreamMemory:  5 * time.Second,
			StreamRecords: 20000,

			ConcurrencyLimits: true,
			FairShares:        true,
		},
	}
}
