// Package peers is the gossip between the routers of a fleet: what a message says,
// what a router concludes from the messages it receives, and what it sends to whom.
//
// It owns the table of peers. All of it is soft state, rebuilt from messages within
// seconds: a router without peers works on with what it knows by itself. The package
// does no I/O; the times that it is given are of the steady clock.
package peers

import (
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
)

// MaxLeaving is how many endpoints that leave a message holds.
const MaxLeaving = 32

// A Message is what a router sends its peers every Interval.
type Message struct {
	Sender netip.AddrPort `cbor:"1,keyasint"`
	// Started is when the sender's process was started, in nanoseconds of its VM's steady
	// clock (clock.Steady). It orders the processes that had one address: by the time of
	// day, a process that was started after that had stepped back would count as older
	// than the one before it, and not at all for peerTTL.
	Started int64 `cbor:"2,keyasint"`
	// Sequence numbers the messages of one process, from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	// Brief says that the message holds nothing but what confirms the configuration and the
	// list of endpoints: it leaves what is known of the sender's requests as it is.
	Brief bool `cbor:"13,keyasint,omitempty"`
	// Members are peers that were alive for the sender.
	Members []Member `cbor:"14,keyasint,omitempty"`
	// Totals are the sender's requests under way, by service.
	Totals []Total `cbor:"15,keyasint,omitempty"`
	// Loads are the sender's requests under way at endpoints that have any: at all of
	// these if Complete is set, else at those that don't report their load.
	Loads    []Load `cbor:"5,keyasint,omitempty"`
	Complete bool   `cbor:"16,keyasint,omitempty"`
	// Demands are the sender's requests under way by prompt.
	Demands []Demand `cbor:"18,keyasint,omitempty"`
	// Reports are what endpoints have reported of their loads, to any router.
	Reports Reports `cbor:"17,keyasint,omitempty"`
	// Version is that of the configuration in force at the sender, or zero.
	//
	// Keys 4, 8 to 10, 12, 19 and 20 belonged to fields that were removed. They must not be used for
	// other fields: routers of an older release would misread them. 19 and 20 held numbers of the
	// source without its era, and 12 confirmed a configuration together with them: a router of either
	// release that took the confirmation without the evacuations would serve by orders that are over.
	Version int64 `cbor:"7,keyasint"`
	// ConfirmedAt is what the steady clock of the configuration's source showed when
	// Version was last known to be the newest.
	ConfirmedAt time.Duration `cbor:"11,keyasint"`
	// Confirmed is false if the sender has no confirmation: ConfirmedAt is not set.
	Confirmed bool `cbor:"27,keyasint"`
	// List is what the sender has of the list of endpoints; nil if it says nothing of it.
	List *List `cbor:"23,keyasint,omitempty"`
	// Evacuations are what the sender knows of them; nil if it says nothing of them.
	Evacuations *Evacuations `cbor:"24,keyasint,omitempty"`
	// Quarantined are records of requests that end what runs them: those that changed lately at
	// the sender, and others by turns.
	Quarantined []Quarantined `cbor:"21,keyasint,omitempty"`
	// HeldRead says that the sender, or a peer of it, has read the held requests that the platform
	// keeps, and passes them on.
	HeldRead bool `cbor:"22,keyasint,omitempty"`
	// Withheld are endpoints that are sent nothing though the list has them as ready, for
	// WithheldFor from the sending on.
	Withheld    []Withheld `cbor:"25,keyasint,omitempty"`
	WithheldFor Age        `cbor:"26,keyasint,omitempty"`
	// Leaving are lives of endpoints that have said with a response that they leave, of which the sender
	// learnt lately, from them or from a peer.
	Leaving []ryeford.EndpointID `cbor:"28,keyasint,omitempty"`
	// Prompts were sent to endpoints since the last message.
	Prompts []Prompt `cbor:"6,keyasint,omitempty"`
}

// An Age is how old something was when it was sent, in milliseconds.
type Age uint32

// AgeOf returns the Age of a time.
func AgeOf(d time.Duration) Age { return Age(max(0, d.Milliseconds())) }

// Duration returns a as a time.
func (a Age) Duration() time.Duration { return time.Duration(a) * time.Millisecond }

// A Member is a peer that was alive for the sender.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Address netip.AddrPort
	// Age is the time since it was last known to be alive.
	Age Age
}

// A List says how new a router's copy of the list of endpoints is.
type List struct {
	_ struct{} `cbor:",toarray"`
	// From and To are the numbers of the source's revisions, within its Era, at which the list is as
	// the copy has it.
	Era, From, To int64
	// Whole says that the copy was read whole and its newest change may be of any revision up to
	// From.
	Whole bool
	// ConfirmedAt is what the source's steady clock showed when the copy was last known to be
	// the newest.
	ConfirmedAt time.Duration
}

// Evacuations are the evacuations of failure domains as of a revision of their source.
type Evacuations struct {
	_           struct{} `cbor:",toarray"`
	Era, Number int64    // of the revision
	Orders      []Evacuation
}

// An Evacuation is the evacuation of one failure domain.
type Evacuation struct {
	_             struct{} `cbor:",toarray"`
	FailureDomain string
	Number        int64 // of the State of a ryeford.Evacuation, in the era of the Evacuations
}

// A Withheld is as a ryeford.WithheldEndpoint.
type Withheld struct {
	_        struct{} `cbor:",toarray"`
	ID       ryeford.EndpointID
	Sequence int64
	Gone     bool
}

// A Total is how many requests a router has under way at all endpoints of a service.
type Total struct {
	_        struct{} `cbor:",toarray"`
	Service  uint32   // the low half of route.NameHash of its name
	Requests int
}

// A Demand is how many requests with a prompt a router has under way.
type Demand struct {
	_        struct{} `cbor:",toarray"`
	Prompt   uint32   // the low half of the hash by which its endpoints are found
	Requests int
}

// A Report is the load that an endpoint has reported with a response.
type Report struct {
	Endpoint uint32        // the low half of route.NameHash of its ID
	Requests int           // running and waiting, of all routers
	Age      time.Duration // since the endpoint did
}

// A Load is how many requests a router has under way at an endpoint.
type Load struct {
	Endpoint ryeford.EndpointID `cbor:"1,keyasint"`
	Requests int                `cbor:"2,keyasint"`
}

// A Prompt is the shared parts of a prompt that an endpoint has read.
type Prompt struct {
	Endpoint ryeford.EndpointID `cbor:"1,keyasint"`
	Parts    []uint64           `cbor:"2,keyasint"`
}
