package loads

import (
	"math"
	"time"

	"github.com/ryeford/ryeford/internal/decay"
)

// Estimate of an endpoint's load.
//
// Rule: the estimate is the sum of this router's requests, which are exact, and an estimate of the
// other routers' requests. The latter is the mean of these, weighted by their inverse variances:
//
//   - the requests that peers have reported for the endpoint, divided by the share of peers that
//     have reported recently: exact if all have, less certain the fewer have
//   - the endpoint's last status report to any router, which decays toward the mean of the service
//     as the reported requests end
//   - the mean of the service
//
// Why: messages between routers are bounded in size and number, so the share of requests
// that they cover shrinks as the fleet grows. The status reports of endpoints are as frequent in
// a large fleet as in a small one.

const (
	// reportHalfLife is the time after which the weight of an endpoint status report has halved, since
	// the requests that it counted end.
	reportHalfLife = 800 * time.Millisecond
	// meanVariance is the variance of the endpoints' loads per request of the mean load. It would be
	// 1 for a random distribution, and shared prompts concentrate requests.
	meanVariance = 2.0
	// minVariance is the variance of a report that has just arrived, in requests squared.
	minVariance = 0.25
)

// An Observation is a router's data on the requests at an endpoint.
type Observation struct {
	Local        int     // requests of this router
	PeerRequests int     // requests that peers have recently reported
	PeerShare    float64 // share of all peers that have recently reported, at most 1
	Mean         float64 // mean number of all peers' requests at an endpoint of the service
	// Reported reports that an endpoint status report is known. It is Age old and counts Others
	// requests of other routers.
	Reported bool
	Others   float64
	Age      time.Duration
	// Slowdown is the expected slowdown of work at the endpoint (slowdown.go); zero if it is not known.
	Slowdown float64
}

// Estimate returns the estimated number of requests at the endpoint, and its standard deviation.
func (o *Observation) Estimate() (requests, deviation float64) {
	if o.PeerShare >= 1 {
		return float64(o.Local + o.PeerRequests), 0
	}
	others := estimate{value: o.Mean, variance: meanVariance*o.Mean + minVariance}
	if o.Reported {
		others = o.fromReport()
	}
	if o.PeerShare > 0 {
		others = others.combine(o.fromPeers(others.value))
	}
	return float64(o.Local) + others.value, math.Sqrt(others.variance)
}

// An estimate is an estimated value and its variance.
type estimate struct{ value, variance float64 }

// combine returns the mean of two independent estimates, weighted by their inverse variances.
func (b estimate) combine(c estimate) estimate {
	sum := b.variance + c.variance
	return estimate{value: (b.value*c.variance + c.value*b.variance) / sum, variance: b.variance * c.variance / sum}
}

// fromReport returns the estimate of the other routers' requests that follows from the endpoint status
// report.
func (o *Observation) fromReport() estimate {
	kept := decay.Factor(o.Age, reportHalfLife)
	return estimate{
		value:    o.Mean + kept*(o.Others-o.Mean),
		variance: minVariance + (1-kept*kept)*meanVariance*max(o.Others, o.Mean),
	}
}

// fromPeers returns the estimate of the other routers' requests that follows from the requests of the
// peers that have reported. The variance is computed for at least expected requests.
func (o *Observation) fromPeers(expected float64) estimate {
	value := float64(o.PeerRequests) / o.PeerShare
	return estimate{value: value, variance: minVariance + max(value, expected)*(1-o.PeerShare)/o.PeerShare}
}
