// Package peers implements the gossip between the routers of a fleet: the format of a message, what
// a router derives from received messages, and what it sends to which peer.
//
// It owns the table of peers, which is soft state and is rebuilt from messages within seconds. An
// isolated router works with its local state. The package does no I/O; its times are times of the
// monotonic clock.
package peers

import (
	"net/netip"
	"time"

	"github.com/ryeford/ryeford"
)

// MaxLeaving is the maximum number of leaving endpoints in a message.
const MaxLeaving = 32

// A Message is sent by a router to its peers every Interval.
type Message struct {
	Sender netip.AddrPort `cbor:"1,keyasint"`
	// Started is the start of the sender's process, in nanoseconds on its VM's monotonic clock
	// (clock.Monotonic). It orders the processes at one address. The time of day would not do:
	// after a backward step a new process would count as older than its predecessor.
	Started int64 `cbor:"2,keyasint"`
	// Sequence is the number of the message within the process, from 1.
	Sequence uint64 `cbor:"3,keyasint"`
	// Brief marks a message without members, prompts and the sender's requests. It does not
	// replace the sender's last reported requests.
	Brief bool `cbor:"13,keyasint,omitempty"`
	// Members are peers that the sender considers alive.
	Members []Member `cbor:"14,keyasint,omitempty"`
	// Totals are the sender's requests in flight, by service.
	Totals []Total `cbor:"15,keyasint,omitempty"`
	// Loads are the sender's requests in flight by endpoint, without endpoints that have none. If
	// Complete is false, endpoints that report their load are left out too.
	Loads    []Load `cbor:"5,keyasint,omitempty"`
	Complete bool   `cbor:"16,keyasint,omitempty"`
	// Demands are the sender's requests in flight, by prompt.
	Demands []Demand `cbor:"18,keyasint,omitempty"`
	// Reports are loads that endpoints have reported to any router.
	Reports Reports `cbor:"17,keyasint,omitempty"`
	// Version is the version of the configuration in force at the sender, or zero.
	//
	// Keys 4, 8 to 10, 12, 19 and 20 belonged to removed fields and must not be reused, because
	// routers of older releases would misread them. Keys 19 and 20 held numbers of the source
	// without its era, and key 12 confirmed a configuration together with them. A router that
	// accepts such a confirmation without the evacuations would apply obsolete evacuations.
	Version int64 `cbor:"7,keyasint"`
	// ConfirmedAt is the reading of the monotonic clock of the configuration's source when Version
	// was last known to be the newest.
	ConfirmedAt time.Duration `cbor:"11,keyasint"`
	// Confirmed reports whether the sender has a confirmation. If not, ConfirmedAt is not set.
	Confirmed bool `cbor:"27,keyasint"`
	// List describes the sender's copy of the list of endpoints, or is nil.
	List *List `cbor:"23,keyasint,omitempty"`
	// Evacuations are the evacuations known to the sender, or nil.
	Evacuations *Evacuations `cbor:"24,keyasint,omitempty"`
	// Quarantined are records of poison requests: those that changed recently at the sender, and
	// the others in rotation.
	Quarantined []Quarantined `cbor:"21,keyasint,omitempty"`
	// HeldRequestsRead reports whether the sender or one of its peers has read the held requests
	// from the platform's store, so that gossip carries them.
	HeldRequestsRead bool `cbor:"22,keyasint,omitempty"`
	// Withheld are endpoints that receive no requests although they are listed as ready.
	// WithheldFor is the remaining duration when the message was sent.
	Withheld    []Withheld `cbor:"25,keyasint,omitempty"`
	WithheldFor Age        `cbor:"26,keyasint,omitempty"`
	// Leaving are incarnations of endpoints that have reported in a response that they are
	// leaving, and of which the sender was recently notified by them or by a peer.
	Leaving []ryeford.EndpointID `cbor:"28,keyasint,omitempty"`
	// Prompts are the prompts sent to endpoints since the last message.
	Prompts []Prompt `cbor:"6,keyasint,omitempty"`
	// Services describe the sender's recent requests for services whose load is limited.
	Services []ServiceFigures `cbor:"29,keyasint,omitempty"`
	// KeepsRecords means that the sender keeps records of streams for its peers (package streamversion). Releases before
	// did not.
	KeepsRecords bool `cbor:"30,keyasint,omitempty"`
	// Ended are crashes of endpoints that the sender has recently learned of.
	Ended []Ended `cbor:"31,keyasint,omitempty"`
}

// An Ended is the message form of a quarantine.Ending.
type Ended struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32
	At       Age
}

// ServiceFigures describe a router's recent requests for a service. Counts are decayed.
type ServiceFigures struct {
	_         struct{} `cbor:",toarray"`
	Service   uint32   // the low 32 bits of route.NameHash of its name
	Arrivals  uint32   // in hundredths of a request per second
	Responses uint32   // number of recent response times, in sixteenths
	Mean      uint32   // of these times, in microseconds
	// Mix describes the requests by priority and client account, or is nil.
	Mix *Mix
}

// A Mix is the recent work of a router's requests for a service, by priority and client account.
type Mix struct {
	_        struct{} `cbor:",toarray"`
	Ranks    []RankWork
	Accounts []AccountWork // those with the most work
}

// RankWork is the work of the requests of one priority.
type RankWork struct {
	_    struct{} `cbor:",toarray"`
	Rank uint8    // of the priority: 0 is the highest
	Work uint32
	Late uint32 // part of Work that can no longer be in time
}

// AccountWork is the work of one client account's requests of one priority.
type AccountWork struct {
	_       struct{} `cbor:",toarray"`
	Rank    uint8
	Account uint32 // the low 32 bits of route.NameHash of its name
	Work    uint32
}

// An Age is an age at the time of sending, in milliseconds.
type Age uint32

// AgeOf returns d as an Age. A negative duration counts as zero.
func AgeOf(d time.Duration) Age { return Age(max(0, d.Milliseconds())) }

// Duration returns a as a time.Duration.
func (a Age) Duration() time.Duration { return time.Duration(a) * time.Millisecond }

// A Member is a peer that the sender considers alive.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Address netip.AddrPort
	// Age is the time since the peer was last known to be alive.
	Age Age
}

// A List describes how recent a router's copy of the list of endpoints is.
type List struct {
	_ struct{} `cbor:",toarray"`
	// From and To are the first and last revision of the source, as numbers within Era, for which
	// the copy is valid.
	Era, From, To int64
	// Full reports whether the copy was last read in full, so that its newest change may be of any
	// revision up to From.
	Full bool
	// ConfirmedAt is the reading of the source's monotonic clock when the copy was last known to be
	// the newest.
	ConfirmedAt time.Duration
}

// Evacuations are the evacuations of failure domains at a revision of their source.
type Evacuations struct {
	_           struct{} `cbor:",toarray"`
	Era, Number int64    // of the revision
	Orders      []Evacuation
}

// An Evacuation is the evacuation of one failure domain.
type Evacuation struct {
	_             struct{} `cbor:",toarray"`
	FailureDomain string
	Number        int64 // of the ryeford.Evacuation's State, in the era of the Evacuations
}

// A Withheld is the message form of a ryeford.WithheldEndpoint.
type Withheld struct {
	_        struct{} `cbor:",toarray"`
	ID       ryeford.EndpointID
	Sequence int64
	Gone     bool
}

// A Total is the number of requests that a router has in flight at all endpoints of a service.
type Total struct {
	_        struct{} `cbor:",toarray"`
	Service  uint32   // the low 32 bits of route.NameHash of its name
	Requests int
}

// A Demand is the number of requests with a prompt that a router has in flight.
type Demand struct {
	_        struct{} `cbor:",toarray"`
	Prompt   uint32   // the low 32 bits of the hash that selects its endpoints
	Requests int
}

// A Report is the load that an endpoint has reported in a response.
type Report struct {
	Endpoint uint32        // the low 32 bits of route.NameHash of its ID
	Requests int           // running and waiting, from all routers
	Age      time.Duration // since the endpoint reported it
}

// A Load is the number of requests that a router has in flight at an endpoint.
type Load struct {
	Endpoint ryeford.EndpointID `cbor:"1,keyasint"`
	Requests int                `cbor:"2,keyasint"`
}

// A Prompt identifies the shared parts of a prompt that an endpoint has processed.
type Prompt struct {
	Endpoint ryeford.EndpointID `cbor:"1,keyasint"`
	Parts    []uint64           `cbor:"2,keyasint"`
}
