package ryeford

import "net/netip"

// An EndpointID names one life of an endpoint: it changes at each start.
type EndpointID string

// An EndpointState is what an endpoint says of itself.
type EndpointState int

// The states of endpoints.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
)

// An Endpoint is one server of a service: a model engine or a plain service.
type Endpoint struct {
	ID            EndpointID
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	Slots         int
	State         EndpointState
}

// An EndpointLoad is what an endpoint tells of its load with an answer.
type EndpointLoad struct {
	Running int
	Waiting int
	Slots   int
}
