package ryeford

import (
	"net/netip"
	"time"
)

// An EndpointID names one life of an endpoint: it changes at each start.
type EndpointID string

// An EndpointState is what an endpoint says of itself in the list of endpoints.
type EndpointState int

// The states of endpoints.
const (
	EndpointReady EndpointState = iota
	// EndpointDraining is that of an endpoint that will end soon, and serves until
	// then.
	EndpointDraining
)

// An Endpoint is one server of a service: a model engine or a plain service.
type Endpoint struct {
	ID            EndpointID
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is how many requests it runs at once; more wait in its queue.
	Slots int
	State EndpointState
	// Cold is for how much longer it bears only few requests, as of when it said so.
	Cold time.Duration
}

// An EndpointLoad is the load that an endpoint reports with a response, in requests.
type EndpointLoad struct {
	Running int
	Waiting int
}
