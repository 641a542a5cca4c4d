package ryeford

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// An EndpointID names one life of an endpoint. It is the name under which the endpoint is listed,
// and, if the endpoint says when it was started, that moment. So all that is known of a life, here
// or at a peer, is of that life alone.
type EndpointID string

// lifeMark stands between the name and the moment in an EndpointID.
const lifeMark = "#"

// NewEndpointID returns the ID of an endpoint's life, given the name under which the endpoint is
// listed and the Unix time of its start in milliseconds, or zero if it doesn't say that.
func NewEndpointID(name string, started int64) EndpointID {
	if started == 0 && !strings.Contains(name, lifeMark) {
		return EndpointID(name)
	}
	return EndpointID(name + lifeMark + strconv.FormatInt(started, 36))
}

// Name returns the ID without the moment: it is the same for all lives of an endpoint.
func (id EndpointID) Name() EndpointID {
	if i := strings.LastIndex(string(id), lifeMark); i >= 0 {
		return id[:i]
	}
	return id
}

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
	// Sequence rises with each heartbeat of this life, and Written is the revision at which the entry was
	// written. Both may be of an earlier entry that says the same.
	Sequence int64    `cbor:"q,omitempty"`
	Written  Revision `cbor:"w,omitempty"`
}

// SaysSame reports whether two entries say the same, whenever they were written.
func (e *Endpoint) SaysSame(other *Endpoint) bool {
	same := *other
	same.Sequence, same.Written = e.Sequence, e.Written
	return *e == same
}

// A WithheldEndpoint is sent no requests though the list has it as ready: it is known to leave, and the
// list's source has come back from an older copy.
type WithheldEndpoint struct {
	ID EndpointID
	// Sequence is that of its announcement, unless its entry was Gone.
	Sequence int64
	Gone     bool
}

// An EndpointReport is what an endpoint says of itself with a response.
type EndpointReport struct {
	// Load is nil if the endpoint doesn't report it.
	Load *EndpointLoad
	// Leaving says that this life of the endpoint ends soon, and is to be sent no more requests.
	Leaving bool
	// Rest is for how long, from the response on, the endpoint wants no requests of this router; zero if
	// it doesn't ask for that.
	Rest time.Duration
}

// An EndpointLoad is the load that an endpoint reports with a response, in requests.
type EndpointLoad struct {
	Running int
	Waiting int
}
