package limit

import (
	"math"
	"time"

	"github.com/ryeford/ryeford/internal/decay"
)

// Estimate of the requests that arrive at the whole fleet.
//
// Rule: it is the number of this router's arrivals, plus the number of its peers times the mean of what peers have
// reported. The sum is as of the time of the reports; it is scaled by the growth of this router's arrivals since.
//
// Why: in a large fleet a router receives few messages a second, and a crowd begins within less time than reports
// take. It begins at all routers, so that the growth of one router's arrivals represents the others'.

const (
	// arrivalHalfLife is the time after which an arrival counts half.
	arrivalHalfLife = 250 * time.Millisecond
	// reportHalfLife is the time after which a peer's report counts half.
	reportHalfLife = 500 * time.Millisecond
	// growthPrior is a number of arrivals that is added to both sides of the growth, so that a few arrivals at a
	// router with little traffic don't count as a crowd.
	growthPrior = 3.0
	// maxGrowth limits the grown estimate, as a multiple of what the reports say or of what this router's arrivals
	// would be at all routers. A router that has just started has had no arrivals at the time of the reports.
	maxGrowth = 2.0
	// minReportWeight is the weight of the reports below which this router's arrivals stand for its peers'.
	minReportWeight = 0.05
	// maxReportFactor limits a peer's report, as a multiple of the mean of all reports.
	maxReportFactor = 16.0
	// minReportLimit is the least limit on a report, in requests per second.
	minReportLimit = 100.0
)

// ratePerArrival converts a decayed number of arrivals to arrivals per second.
var ratePerArrival = math.Ln2 / arrivalHalfLife.Seconds()

// arrivals are the recent arrivals at a service. All counts are decayed.
type arrivals struct {
	own   float64 // this router's arrivals
	ownAt time.Time

	reports     float64 // number of peers' reports
	peerRates   float64 // sum of the reported arrivals per second
	ownAtReport float64 // sum of own at the time of each report
	reportsAt   time.Time
}

func (a *arrivals) decay(now time.Time) {
	a.own *= decay.Factor(now.Sub(a.ownAt), arrivalHalfLife)
	a.ownAt = now
	f := decay.Factor(now.Sub(a.reportsAt), reportHalfLife)
	a.reportsAt = now
	a.reports *= f
	a.peerRates *= f
	a.ownAtReport *= f
}

// add counts an arrival at this router.
func (a *arrivals) add(now time.Time) {
	a.decay(now)
	a.own++
}

// rate returns this router's arrivals per second.
func (a *arrivals) rate(now time.Time) float64 {
	a.decay(now)
	return a.own * ratePerArrival
}

// report merges a peer's arrivals per second. It returns false if they are implausible and were limited.
func (a *arrivals) report(now time.Time, rate float64) bool {
	a.decay(now)
	limit := max(minReportLimit, maxReportFactor*(a.peerRates+a.own*ratePerArrival)/(a.reports+1))
	plausible := rate >= 0 && rate <= limit // false for a NaN
	if !plausible {
		rate = min(max(0, rate), limit)
	}
	if math.IsNaN(rate) {
		return false
	}
	a.reports++
	a.peerRates += rate
	a.ownAtReport += a.own
	return plausible
}

// A rateEstimate is an estimated number of arrivals per second.
type rateEstimate struct {
	value   float64
	atLeast float64 // value less one standard deviation
}

// fleet returns the arrivals at this router and its peers.
func (a *arrivals) fleet(now time.Time, peers int) rateEstimate {
	a.decay(now)
	if a.reports < minReportWeight {
		return newRateEstimate(a.own*ratePerArrival*float64(1+peers), a.own)
	}
	then := a.ownAtReport / a.reports
	growth := (a.own + growthPrior) / (then + growthPrior)
	all := then*ratePerArrival + float64(peers)*a.peerRates/a.reports
	own := a.own * ratePerArrival
	all = min(all*growth, maxGrowth*max(all, own*float64(1+peers)))
	return newRateEstimate(max(all, own), a.own+a.peerRates/ratePerArrival)
}

// newRateEstimate returns an estimate that is based on a number of arrivals.
func newRateEstimate(value, arrivals float64) rateEstimate {
	return rateEstimate{value: value, atLeast: value * (1 - 1/math.Sqrt(arrivals+1))}
}
