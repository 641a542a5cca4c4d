package ryeford

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// An EndpointID identifies one incarnation of an endpoint. It consists of the name under which the
// endpoint is listed and, if the endpoint reports it, its start time. State that is kept under an
// EndpointID, here or at a peer, therefore never applies to a restarted endpoint.
type EndpointID string

// incarnationSeparator separates the name from the start time in an EndpointID.
const incarnationSeparator = "#"

// NewEndpointID returns the ID of an incarnation. name is the name under which the endpoint is
// listed. started is the Unix time of its start in milliseconds, or zero if the endpoint doesn't
// report it.
func NewEndpointID(name string, started int64) EndpointID {
	if started == 0 && !strings.Contains(name, incarnationSeparator) {
		return EndpointID(name)
	}
	return EndpointID(name + incarnationSeparator + strconv.FormatInt(started, 36))
}

// Name returns the ID without the start time. It is the same for all incarnations of an endpoint.
func (id EndpointID) Name() EndpointID {
	if i := strings.LastIndex(string(id), incarnationSeparator); i >= 0 {
		return id[:i]
	}
	return id
}

// Started returns the start time of the incarnation by the clock of its VM, in Unix milliseconds, and false if the
// endpoint doesn't report it.
func (id EndpointID) Started() (milliseconds int64, known bool) {
	i := strings.LastIndex(string(id), incarnationSeparator)
	if i < 0 {
		return 0, false
	}
	milliseconds, err := strconv.ParseInt(string(id[i+len(incarnationSeparator):]), 36, 64)
	return milliseconds, err == nil && milliseconds > 0
}

// An EndpointState is the state that an endpoint reports in the list of endpoints.
type EndpointState int

// The states of endpoints.
const (
	EndpointReady EndpointState = iota
	// EndpointDraining means that the endpoint will stop soon, and serves requests until then.
	EndpointDraining
)

// An Endpoint is one server of a service: a model engine or a plain service. Routers send it to
// each other as CBOR, with untagged fields under their own names.
type Endpoint struct {
	ID            EndpointID
	Service       string
	Address       netip.AddrPort
	FailureDomain string
	// Slots is the number of requests that it runs concurrently. Further requests wait in its
	// queue.
	Slots int
	State EndpointState
	// Software is unknown in a copy of the list from a router that doesn't send it.
	Software SoftwareVersion `cbor:"v,omitempty"`
	// Cold is how much longer it accepts requests only at a limited rate, counted from when it
	// wrote its entry.
	Cold time.Duration
	// Sequence increases with each heartbeat of this incarnation. Written is the revision at which
	// the entry was written. Both may be those of an earlier entry that is otherwise equal.
	Sequence int64    `cbor:"q,omitempty"`
	Written  Revision `cbor:"w,omitempty"`
}

// Equal reports whether two entries are equal, apart from Sequence and Written.
func (e *Endpoint) Equal(other *Endpoint) bool {
	same := *other
	same.Sequence, same.Written = e.Sequence, e.Written
	return *e == same
}

// A WithheldEndpoint is an endpoint that is sent no requests although it is listed as ready: it had
// announced that it is leaving, or its entry had been removed, and the store of the list was then
// restored from an older backup.
type WithheldEndpoint struct {
	ID EndpointID
	// Sequence is that of the entry that announced the departure. It has no meaning if Gone.
	Sequence int64
	// Gone means that the entry had been removed.
	Gone bool
}

// An EndpointReport is the status that an endpoint reports about itself in a response.
type EndpointReport struct {
	// Load is nil if the endpoint doesn't report it.
	Load *EndpointLoad
	// Leaving means that this incarnation of the endpoint stops soon and must be sent no more
	// requests.
	Leaving bool
	// RetryAfter is the back-off that the endpoint asks this router for, counted from the
	// response. Zero means none.
	RetryAfter time.Duration
}

// An EndpointLoad is the load that an endpoint reports in a response, in requests.
type EndpointLoad struct {
	Running int
	Waiting int
	// Slowdown is how long work takes there at the time of the response, as a multiple of the usual
	// time. Zero means that the endpoint doesn't report it.
	Slowdown float64
}
