// Package choice decides which endpoint a request is sent to, and from which other
// endpoint that one may fetch the cached part of the prompt.
//
// A request whose prompt shares a part with others goes by affinity (affinity.go),
// any other by load (load.go). Loads are bounded (full). The source of a cached prefix
// is in source.go. All of it is pure: no state, no clock, no I/O; the same
// inputs give the same choice on every router.
package choice

import "github.com/ryeford/ryeford"

// capOffset is how many requests an endpoint may have beyond CapFactor times the
// mean. It keeps endpoints from being full while the mean is near zero. The platform's
// bound is 3; a router learns of the others' requests late, so it stays one below.
const capOffset = 2.0

// deviations is how many standard deviations of an estimate are added to it before it is
// compared with the bound: where little is known, an endpoint counts as full sooner.
const deviations = 0.25

// queueShare is the part of its slots for which an endpoint may have requests waiting while
// others have room: a short wait costs less than reading the prompt elsewhere.
const queueShare = 0.125

// A Candidate is an endpoint of the request's service as the router sees it now.
type Candidate struct {
	ID     ryeford.EndpointID
	Domain string // failure domain
	// Hash is the uniform hash of the ID.
	Hash uint64
	// Load is the estimated number of its requests, running and waiting.
	Load float64
	// Deviation is the standard deviation of that estimate.
	Deviation float64
	// Slots is how many requests it runs at once.
	Slots int
	// Tried says that an attempt of this request was sent there already.
	Tried bool
	// Unhealthy says that it is ejected or silent.
	Unhealthy bool
	// Draining endpoints accept no requests, but may still hold prompts.
	Draining bool
	// Barred endpoints may be sent nothing now, for a reason that is not their load: they may
	// hold prompts, and count for the mean load.
	Barred bool
	// MissingTokens is how many tokens of the prompt's shared parts it is not known
	// to hold.
	MissingTokens int
}

// hasRoom reports whether a request that is sent there is served soon. Without slots it is not
// known, and assumed.
func (c *Candidate) hasRoom() bool {
	return c.Slots <= 0 || c.Load < (1+queueShare)*float64(c.Slots)
}

// isFull reports whether a candidate may be above a bound by what is known of its load.
func (c *Candidate) isFull(bound float64) bool { return c.Load+deviations*c.Deviation > bound }

// usable reports whether a candidate is to be considered first.
func (c *Candidate) usable() bool { return !c.Draining && !c.Barred && !c.Tried && !c.Unhealthy }

// Limits are the parameters of a choice that differ from gateway to gateway.
type Limits struct {
	CapFactor float64 // times the mean load, plus capOffset: above that an endpoint is full
	Domain    string  // the router's failure domain
}

// A Reason is why an endpoint was chosen, as it is logged.
type Reason string

// The reasons.
const (
	ReasonHome        Reason = "home"    // the first by affinity
	ReasonSpill       Reason = "spill"   // the first by affinity that is not full
	ReasonSpread      Reason = "spread"  // one of several for a prompt that needs more than one
	ReasonLighter     Reason = "lighter" // one of the next by affinity, which is less loaded
	ReasonLeastLoaded Reason = "least"   // the least loaded
	ReasonLastResort  Reason = "last"    // the least loaded, and only unhealthy ones are left
	ReasonNone        Reason = "nobody"  // no candidate may be sent the request
)

// A Choice is what was chosen, and what it was based on.
type Choice struct {
	Index  int // of the candidates, or -1
	Reason Reason
	// Alternate is the index of the best other candidate by affinity, or -1: it is
	// likely to hold the prompt. It may be draining.
	Alternate int
	// AlternateFirst says that the alternate precedes the chosen one by affinity.
	AlternateFirst bool
	// Settled says that more candidates, if they come later by affinity, would not change the choice.
	Settled bool
	// Mean is the mean load, and Cap the load above which an endpoint is full.
	Mean float64
	Cap  float64
}

func newChoice(means Means, limits *Limits) Choice {
	return Choice{Index: -1, Alternate: -1, Reason: ReasonNone, Mean: means.Counted, Cap: limits.full(means.Counted)}
}

// Means are mean loads in requests.
type Means struct {
	// Counted is that of all endpoints that accept requests or would if they weren't barred; the
	// bound is a multiple of it. Sendable is that of those which aren't barred.
	Counted, Sendable float64
}

func meansOf(candidates []Candidate) Means {
	return Means{Counted: meanLoad(candidates, (*Candidate).counted), Sendable: meanLoad(candidates, (*Candidate).sendable)}
}

// counted reports whether a candidate counts for the mean load that bounds the others': draining
// ones don't.
func (c *Candidate) counted() bool { return !c.Draining }

// sendable reports whether a candidate gets its share of the requests.
func (c *Candidate) sendable() bool { return !c.Draining && !c.Barred }

// meanLoad returns the mean load, in requests, of the candidates for which counts returns true.
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

// full returns the load, in requests, above which an endpoint is full.
func (l *Limits) full(mean float64) float64 { return l.CapFactor*mean + capOffset }
