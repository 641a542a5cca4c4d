package limit

import (
	"math"
	"slices"
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
	reportHalfLife = time.Second
	// growthPrior is a number of arrivals that is added to both sides of the growth, so that a few arrivals at a
	// router with little traffic don't count as a crowd.
	growthPrior = 3.0
	// maxGrowth limits the grown estimate, as a multiple of what the reports say or of what this router's arrivals
	// would be at all routers. A router that has just started has had no arrivals at the time of the reports.
	maxGrowth = 2.0
	// minReportWeight is the weight of the reports below which this router's arrivals stand for its peers'.
	minReportWeight = 0.05
	// medianReports is the number of the last reports of which the median is taken, and minMedianReports the least.
	medianReports    = 15
	minMedianReports = 3
	// maxReportFactor limits a peer's report, as a multiple of that median. One router can't raise the median,
	// however often it reports too much.
	maxReportFactor = 8.0
	// minReportLimit is the least limit on a report, in requests per second.
	minReportLimit = 30.0
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

	last     [medianReports]float64 // last reported arrivals per second
	received int                    // number of reports received so far
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
	a.last[a.received%medianReports] = rate
	a.received++
	limited := min(rate, a.reportLimit())
	a.reports++
	a.peerRates += limited
	a.ownAtReport += a.own
	return limited == rate
}

// reportLimit returns the arrivals per second up to which a peer's report counts. Few reports are not limited, since
// there is nothing to compare them with.
func (a *arrivals) reportLimit() float64 {
	known := min(a.received, medianReports)
	if known < minMedianReports {
		return math.Inf(1)
	}
	sorted := slices.Sorted(slices.Values(a.last[:known]))
	return max(minReportLimit, maxReportFactor*sorted[known/2])
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
