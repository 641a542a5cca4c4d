package settings

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A Gateway is the settings of a router on a platform that keeps the operators'
// configuration and the list of endpoints itself.
type Gateway struct {
	VM            ryeford.VMID `yaml:"vm" validate:"required"`
	Region        string       `yaml:"region" validate:"required"`
	FailureDomain string       `yaml:"failure_domain" validate:"required"`
	Callers       Address      `yaml:"callers" validate:"required"`
	Readiness     Address      `yaml:"readiness" validate:"required"`
	Metrics       Address      `yaml:"metrics"`
	Store         Address      `yaml:"store" validate:"required"`
	// Peers is where the router hears the others of its fleet, over UDP; empty is
	// no talk with them.
	Peers   Address        `yaml:"peers"`
	Memory  int            `yaml:"memory_mb" validate:"min=16,max=1048576"`
	Bounds  GatewayBounds  `yaml:"bounds"`
	Routing GatewayRouting `yaml:"routing"`
}

// GatewayBounds are what the users demand of a router.
type GatewayBounds struct {
	// Revoke is how long after a key was taken away no request of it may run.
	Revoke time.Duration `yaml:"revoke" validate:"min=500ms,max=1h"`
	// Contact is how long a router that regained the store still counts as out
	// of touch.
	Contact time.Duration `yaml:"contact" validate:"min=100ms,max=10m"`
	// Configuration is the time in which an accepted configuration is in force at
	// each router, and Drain the time in which an endpoint that leaves gets nothing
	// new any more.
	Configuration time.Duration `yaml:"configuration" validate:"min=200ms,max=10m"`
	Drain         time.Duration `yaml:"drain" validate:"min=200ms,max=10m"`
	// Grace is the time between the order to stop and the end of the process.
	Grace time.Duration `yaml:"grace" validate:"min=1s,max=1h"`
	// RetryRatio and RetryReserve bound, for each service and over RetryWindow,
	// what all routers together send beyond each request's first.
	RetryRatio   float64       `yaml:"retry_ratio" validate:"min=0,max=1"`
	RetryReserve float64       `yaml:"retry_reserve" validate:"min=0,max=1000000"`
	RetryWindow  time.Duration `yaml:"retry_window" validate:"min=1s,max=10m"`
	// CapFactor is the multiple of the mean load beyond which an endpoint gets
	// no more.
	CapFactor float64 `yaml:"cap_factor" validate:"min=1,max=100"`
}

// GatewayRouting are the router's own choices.
type GatewayRouting struct {
	// EndpointsWait is how long the store holds a question for changes of the list
	// of endpoints; zero derives it from Bounds.Contact. A lost question is noticed
	// StoreTimeout later, and must be asked again before the router counts as in
	// touch.
	EndpointsWait time.Duration `yaml:"endpoints_wait" validate:"min=0s,max=30s"`
	// EndpointsSettle is how long a router waits after a change of that list before
	// it asks for more, so that changes in a row come in one answer; zero derives it
	// from Bounds.Drain.
	EndpointsSettle time.Duration `yaml:"endpoints_settle" validate:"min=0s,max=5s"`
	// LeaseRefresh is the age of what is known of the configuration at which each
	// router reads it again; zero derives it from Bounds.Configuration and
	// Bounds.Revoke. Routers that hear each other take turns at reading it sooner,
	// for all.
	LeaseRefresh time.Duration `yaml:"lease_refresh" validate:"min=0s,max=10m"`
	// StoreTimeout is how long the store may take beyond that.
	StoreTimeout time.Duration `yaml:"store_timeout" validate:"min=50ms,max=30s"`
	// StartPatience is how long from its start a router lets requests wait for the
	// configuration and the list of endpoints, before it refuses them.
	StartPatience time.Duration `yaml:"start_patience" validate:"min=0s,max=10s"`
	// Routers is how many routers at least are taken to share RetryReserve.
	Routers int `yaml:"routers" validate:"min=1,max=10000"`
}

const (
	// settlePart and settleMost bound the derived EndpointsSettle: a part of the
	// time that a leaving endpoint leaves, and what saves calls noticeably.
	settlePart = 2
	settleMost = time.Second
	// refreshPart is the part of Bounds.Configuration that the age of a
	// configuration may take, and refreshRevokePart that of Bounds.Revoke: what is
	// left of the lease is how long an outage of the store is bridged.
	refreshPart       = 2
	refreshRevokePart = 5
)

// regainMargin is kept between the end of a lost question and the time at which
// a router counts as in touch again.
const regainMargin = 100 * time.Millisecond

// WaitForEndpoints returns how long the store holds a question for changes of
// the list of endpoints.
func (s *Gateway) WaitForEndpoints() time.Duration {
	if s.Routing.EndpointsWait > 0 {
		return s.Routing.EndpointsWait
	}
	return max(regainMargin, s.Bounds.Contact-s.Routing.StoreTimeout-regainMargin)
}

// SettleEndpoints returns how long a router waits after a change of the list of
// endpoints before it asks for more.
func (s *Gateway) SettleEndpoints() time.Duration {
	if s.Routing.EndpointsSettle > 0 {
		return s.Routing.EndpointsSettle
	}
	return min(settleMost, s.Bounds.Drain/settlePart)
}

// RefreshConfiguration returns the age at which the configuration is read again.
func (s *Gateway) RefreshConfiguration() time.Duration {
	if s.Routing.LeaseRefresh > 0 {
		return s.Routing.LeaseRefresh
	}
	return min(s.Bounds.Configuration/refreshPart, s.Bounds.Revoke/refreshRevokePart)
}

// DefaultGateway returns a Gateway with the defaults of what may be left out.
func DefaultGateway() *Gateway {
	return &Gateway{
		Memory: 256,
		Bounds: GatewayBounds{
			Revoke:        5 * time.Second,
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
			Routers:       10,
		},
	}
}
