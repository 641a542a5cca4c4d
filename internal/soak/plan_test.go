package soak

import (
	"math/rand/v2"
	"time"
)

// A plan is what all runs of one kind have in common. The seed determines the rest.
type plan struct {
	bounds  bounds
	initial configuration // of a new fleet
	// faults returns the faults that a run draws from.
	faults   func(random *rand.Rand) []fault
	checks   []check
	profiles []callerProfile
	// halfReady makes the load balancer use all gateways if fewer than half are ready, as
	// on the platform, rather than only if none is.
	halfReady bool
	// responseMargin is how long callers wait for a response after the deadline.
	responseMargin time.Duration
	// slowServer adds the server of that name.
	slowServer bool
	// versions are the software versions of the model service's servers. Servers of the first one
	// are listed at first. Nil means that all servers run the same one.
	versions []string
	// linkRate limits the link to the store of every second gateway, in bytes per second; 0
	// means no limit.
	linkRate int
}

// bounds are the time limits in the gateways' settings.
type bounds struct {
	revoke        time.Duration // from the revocation of a key until it is rejected
	configuration time.Duration // from the acceptance of a configuration until it is in force
	contact       time.Duration // time without a disturbance after which a gateway is in touch
	grace         time.Duration // from SIGTERM to SIGKILL
	storeTimeout  time.Duration // of a call of the store
	refresh       time.Duration // age at which a configuration is read again
}

// basicPlan has single faults, which overlap, and small configurations.
var basicPlan = plan{
	bounds: bounds{
		revoke:        1500 * time.Millisecond,
		configuration: 2 * time.Second,
		contact:       time.Second,
		grace:         6 * time.Second,
		storeTimeout:  300 * time.Millisecond,
		refresh:       300 * time.Millisecond,
	},
	initial:  configuration{Version: 1, SecondKey: true},
	faults:   func(*rand.Rand) []fault { return basicFaults },
	checks:   basicChecks,
	profiles: []callerProfile{{maxPause: 30 * time.Millisecond}},
}

// seriesPlan has series of signals, callers that keep connections open, configurations of
// thousands of routes, and slow links to the store.
var seriesPlan = plan{
	bounds: bounds{
		revoke:        4 * time.Second,
		configuration: 3 * time.Second,
		contact:       time.Second,
		grace:         6 * time.Second,
		storeTimeout:  700 * time.Millisecond,
		refresh:       800 * time.Millisecond,
	},
	initial: configuration{Version: 1, SecondKey: true, HasProbeRoute: true},
	faults:  seriesFaults,
	checks:  seriesChecks,
	profiles: []callerProfile{
		{maxPause: 30 * time.Millisecond, sticky: true},
		{maxPause: 4 * time.Second, sticky: true},
		{maxPause: 60 * time.Millisecond, reconnects: true},
		{maxPause: 30 * time.Millisecond},
	},
	halfReady:      true,
	responseMargin: responseMargin,
	slowServer:     true,
	linkRate:       slowLinkRate,
}

// responseMargin is how long the callers of seriesPlan wait for a response after the
// deadline.
const responseMargin = time.Second

// slowLinkRate is 5 Mbit/s in bytes per second, half the rate of the slowest links in
// production. Configurations with half as many routes therefore take as long to read.
const slowLinkRate = 625_000
