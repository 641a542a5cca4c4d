package soak

import (
	"math/rand/v2"
	"time"
)

// A plan is what the runs of one kind have in common. A seed draws the rest.
type plan struct {
	bounds  bounds
	initial configuration // what a fleet starts with
	// faults returns the faults that a run draws from.
	faults   func(random *rand.Rand) []fault
	checks   []check
	profiles []callerProfile
	// halfReady says that the load balancer uses all gateways if fewer than half are
	// ready, as the platform's does, and not only if none is.
	halfReady bool
	// responseMargin is how long callers wait for an answer after the deadline.
	responseMargin time.Duration
	// slowServer says that there is the server of that name.
	slowServer bool
	// linkRate is what the links to the store of every second gateway bear, in bytes a
	// second; zero is no bound.
	linkRate int
}

// bounds are the times to which gateways are set.
type bounds struct {
	revoke        time.Duration // from a key's revocation until it works no more
	configuration time.Duration // from a configuration's acceptance until it is in force
	contact       time.Duration // how long without a disturbance makes a gateway be in touch
	grace         time.Duration // from SIGTERM to SIGKILL
	storeTimeout  time.Duration // of a call of the store
	refresh       time.Duration // the age at which a configuration is read again
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

// seriesPlan has series of signals that overlap, callers that use open connections to
// the last, configurations of thousands of routes, and slow links to the store.
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

// responseMargin is how long the callers of seriesPlan wait for an answer after the
// deadline.
const responseMargin = time.Second

// slowLinkRate is 5 Mbit/s in bytes a second: half of what the narrower links of the users'
// VMs bear, so that half of their routes take as long, and take the machine of the test
// less work.
const slowLinkRate = 625_000
