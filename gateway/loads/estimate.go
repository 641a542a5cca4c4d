package loads

import (
	"math"
	"time"
)

// How loaded an endpoint is.
//
// Rule: the estimate is this router's own requests, and for those of the others the mean of
// what is known, each weighed by the inverse of its variance:
//
//   - what the peers have reported of their requests there, divided by the part of all peers that
//     have reported lately: exact if all have, and the less certain the fewer have
//   - what the endpoint reported last, to any router, on its way back to the mean of the service,
//     from which it is further the less of its requests have ended since
//   - the mean of the service
//
// Why: messages of a bounded size, of which a router gets a bounded number, bring it word of
// a part of the requests that shrinks as the fleet grows, but of what endpoints report as
// much in a large fleet as in a small one.

const (
	// reportHalfLife is the time after which an endpoint's word weighs half: the
	// requests that it counted end meanwhile. 0.5, 0.8, 1.5 and 3 s differ by less than noise,
	// 0.5 s is the worst.
	reportHalfLife = 800 * time.Millisecond
	// meanVariance is the variance of the endpoints' loads around their mean, for each request of
	// the mean: 1 if requests were spread at random; shared prompts draw them together.
	meanVariance = 2.0
	// minVariance is that of a word that has just come, in requests squared.
	minVariance = 0.25
)

// An Observation is what a router knows of the requests at an endpoint.
type Observation struct {
	Own   int     // this router's, exact
	Peers int     // those of the peers whose loads count
	Share float64 // the part that these peers are of all peers, at most 1
	Mean  float64 // all peers' requests at an endpoint of the service, on average
	// Reports says that the endpoint has reported its load: Others requests that weren't this
	// router's, Age ago.
	Reports bool
	Others  float64
	Age     time.Duration
}

// Estimate returns the estimated number of requests at the endpoint, and its standard deviation.
func (o *Observation) Estimate() (requests, deviation float64) {
	if o.Share >= 1 {
		return float64(o.Own + o.Peers), 0
	}
	others := belief{value: o.Mean, variance: meanVariance*o.Mean + minVariance}
	if o.Reports {
		others = o.reported()
	}
	if o.Share > 0 {
		others = others.with(o.sampled(others.value))
	}
	return float64(o.Own) + others.value, math.Sqrt(others.variance)
}

// A belief is an estimate and its variance.
type belief struct{ value, variance float64 }

// with returns the mean of two beliefs that know nothing of each other.
func (b belief) with(c belief) belief {
	sum := b.variance + c.variance
	return belief{value: (b.value*c.variance + c.value*b.variance) / sum, variance: b.variance * c.variance / sum}
}

// reported is what the endpoint's word says of the others' requests now.
func (o *Observation) reported() belief {
	kept := math.Exp2(-float64(o.Age) / float64(reportHalfLife))
	return belief{
		value:    o.Mean + kept*(o.Others-o.Mean),
		variance: minVariance + (1-kept*kept)*meanVariance*max(o.Others, o.Mean),
	}
}

// sampled is what the requests of a part of the peers say of those of all, if there are about
// as many as expected.
func (o *Observation) sampled(expected float64) belief {
	value := float64(o.Peers) / o.Share
	return belief{value: value, variance: minVariance + max(value, expected)*(1-o.Share)/o.Share}
}
