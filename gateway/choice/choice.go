// Package choice decides which endpoint a request is sent to, and from which other
// endpoint the chosen one may fetch the cached part of the prompt.
//
// Requests whose prompt shares a part with others are placed by affinity (affinity.go),
// all others by load (load.go). The load of an endpoint is capped (Limits). The source of a
// cached prefix is chosen in source.go. The package is pure: it has no state, clock or I/O, and
// the same inputs give the same choice on every router.
package choice

import "github.com/ryeford/ryeford"

// capOffset is how many requests an endpoint may have beyond CapFactor times the mean load, so that
// endpoints are not full while the mean is near zero. It is one below the platform's limit of 3,
// since a router receives the other routers' loads with a delay.
const capOffset = 2.0

// capDeviations is how many standard deviations are added to an estimated load before it is
// compared with the cap: an endpoint whose load is uncertain counts as full sooner.
const capDeviations = 0.25

// maxQueueShare is how many waiting requests an endpoint may have while others have room, as a share
// of its slots. A short wait costs less than processing the prompt on another endpoint.
const maxQueueShare = 0.125

// A Candidate is an endpoint of the request's service as this router currently sees it.
type Candidate struct {
	ID     ryeford.EndpointID
	Domain string // failure domain
	// Hash is the uniform hash of ID.
	Hash uint64
	// Load is the estimated number of its requests, running and waiting.
	Load float64
	// Deviation is the standard deviation of Load.
	Deviation float64
	// Slowdown is how long work takes there at the moment, as a multiple of the usual time. Zero
	// means the usual time.
	Slowdown float64
	// Slots is how many requests the endpoint runs concurrently, 0 if unknown.
	Slots int
	// Tried reports that this request was already attempted there.
	Tried bool
	// Unhealthy reports that the endpoint is ejected or silent.
	Unhealthy bool
	// Draining endpoints accept no requests but may still hold prompts.
	Draining bool
	// Excluded endpoints are excluded for a reason other than load. They may hold prompts, and
	// their load counts for the mean.
	Excluded bool
	// MissingTokens is how many tokens of the prompt's shared parts the endpoint is not known
	// to hold.
	MissingTokens int
}

// hasRoom reports whether a request would be served there without a long wait. It returns true if
// the number of slots is unknown.
func (c *Candidate) hasRoom() bool {
	return c.Slots <= 0 || c.Load < (1+maxQueueShare)*float64(c.Slots)
}

// isFull reports whether the load may exceed bound, given the uncertainty of the estimate.
func (c *Candidate) isFull(bound float64) bool { return c.Load+capDeviations*c.Deviation > bound }

// effectiveLoad returns the number of requests that would delay a further one as much at the usual
// speed. The cap applies to Load, which counts requests.
func (c *Candidate) effectiveLoad() float64 {
	if c.Slowdown <= 0 {
		return c.Load
	}
	return (c.Load+1)*c.Slowdown - 1
}

// usable reports whether the candidate is healthy, accepts requests, is not excluded and was not
// tried.
func (c *Candidate) usable() bool { return !c.Draining && !c.Excluded && !c.Tried && !c.Unhealthy }

// Limits are the parameters of a choice that are configured for each router.
type Limits struct {
	CapFactor float64 // an endpoint is full above CapFactor times the mean load plus capOffset
	Domain    string  // this router's failure domain
}

// A Reason states in the logs why an endpoint was chosen.
type Reason string

// Reasons for a choice.
const (
	ReasonHome        Reason = "home"    // the first in rendezvous order
	ReasonSpill       Reason = "spill"   // another one, since the first is full or has no room
	ReasonSpread      Reason = "spread"  // one of several, since the prompt needs more than one
	ReasonLighter     Reason = "lighter" // one of the next in rendezvous order, which is less loaded
	ReasonLeastLoaded Reason = "least"   // the least loaded healthy one
	ReasonLastResort  Reason = "last"    // the least loaded unhealthy one
	ReasonNone        Reason = "nobody"  // no candidate accepts the request
)

// A Choice is the chosen endpoint and the data that led to it.
type Choice struct {
	Index  int // index of the chosen candidate, or -1
	Reason Reason
	// Alternate is the index of the first other candidate in rendezvous order, or -1. It is
	// likely to hold the prompt, and may be draining.
	Alternate int
	// AlternateFirst reports that the alternate precedes the chosen candidate in rendezvous order.
	AlternateFirst bool
	// Settled reports that further candidates later in rendezvous order would not change the choice.
	Settled bool
	// Mean is the mean load. An endpoint whose load exceeds Cap is full.
	Mean float64
	Cap  float64
}

func newChoice(means Means, limits *Limits) Choice {
	return Choice{Index: -1, Alternate: -1, Reason: ReasonNone, Mean: means.NotDraining, Cap: limits.loadCap(means.NotDraining)}
}

// Means are mean loads in requests.
type Means struct {
	// NotDraining is the mean over all endpoints that are not draining; the cap is derived from it.
	// Available is the mean over those that are not excluded either.
	NotDraining, Available float64
}

func meansOf(candidates []Candidate) Means {
	return Means{NotDraining: meanLoad(candidates, (*Candidate).notDraining), Available: meanLoad(candidates, (*Candidate).available)}
}

// notDraining reports whether the candidate's load counts for the mean that the cap is derived from.
func (c *Candidate) notDraining() bool { return !c.Draining }

// available reports whether the candidate accepts requests and is not excluded.
func (c *Candidate) available() bool { return !c.Draining && !c.Excluded }

// meanLoad returns the mean load, in requests, of the candidates for which counts returns true, or
// 0 if there are none.
func meanLoad(candidates []Candidate, counts func(*Candidate) bool) float64 {
	sum, n := 0.0, 0
	for i := range candidates {
		if !counts(&candidates[i]) {
			continue
		}
		sum += candidates[i].Load
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// loadCap returns the load, in requests, above which an endpoint is full.
func (l *Limits) loadCap(mean float64) float64 { return l.CapFactor*mean + capOffset }
