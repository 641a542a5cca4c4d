package limit

import (
	"time"

	"github.com/ryeford/ryeford/internal/decay"
)

// Rule: while more requests arrive at the fleet than a service answers in time, each router may send the same
// share of them: the service's capacity over the fleet's arrivals. The capacity is the number of requests that the
// service may have at once, over the time that a request takes there (Little's law). It may have one request for
// each slot, and as many waiting ones as keep the mean wait below a part of the goal. Rejections by endpoints
// reduce that number, which then recovers.
//
// Why: the endpoints queue far more requests than they answer in time, so that nobody is served in time once the
// queues are full. A common share needs no division of the room among routers. It holds for any distribution of the
// callers, and for routers that see less than one request in the time of a response.

const (
	// waitShare is the mean wait at the endpoints as a share of the goal. Single requests wait several
	// times as long.
	waitShare = 0.16
	// maxMeanShare is the mean response time, as a share of the goal, above which fewer requests may wait:
	// the endpoints are slower than usual, and waiting would make the slower requests late.
	maxMeanShare = 0.5
	// maxPerSlot limits the requests per slot if the goal is long compared with the work.
	maxPerSlot = 2.0

	// rejectionFactor reduces the limit after a rejection, at most once in correctionGap: about as long
	// as the effect takes to show.
	rejectionFactor = 0.9
	correctionGap   = 100 * time.Millisecond
	minCorrection   = 0.05
	// correctionDoubling is the time in which a reduced limit doubles.
	correctionDoubling = 4 * time.Second
)

// A service is the state of one service.
type service struct {
	arrivals    arrivals
	times       responseTimes
	lastArrival time.Time // at this router
	usedAt      time.Time // last use by this router or a peer

	correction   float64 // factor on the limit, at most 1
	correctedAt  time.Time
	lastDecrease time.Time
}

func newService(now time.Time) *service {
	return &service{correction: 1, correctedAt: now}
}

// decide returns which share of the arrivals may be sent. The share is one unless the arrivals exceed the
// capacity even if their number is overestimated: with few arrivals, the estimate is uncertain.
func (s *service) decide(now time.Time, room Room) Decision {
	arrivals := s.arrivals.fleet(now, room.Peers)
	d := Decision{Share: 1, Arrivals: arrivals.value, Mean: s.times.mean(now)}
	if room.Slots > 0 && room.Goal > 0 && d.Mean > 0 {
		d.Limit = s.limit(now, &room, d.Mean)
		if capacity := d.Limit / d.Mean.Seconds(); arrivals.atLeast > capacity {
			d.Share = min(1, capacity/arrivals.value)
		}
	}
	return d
}

// limit returns the number of requests that the service may have at once.
func (s *service) limit(now time.Time, room *Room, mean time.Duration) float64 {
	goal := float64(room.Goal)
	perSlot := min(maxPerSlot, 1+waitShare*goal/float64(s.times.unloaded()))
	if longest := maxMeanShare * goal; mean > time.Duration(longest) {
		perSlot = max(1, perSlot*longest/float64(mean))
	}
	return float64(room.Slots) * perSlot * s.recovered(now)
}

// recovered updates the correction to its recovery up to now, and returns it.
func (s *service) recovered(now time.Time) float64 {
	s.correction = min(1, s.correction/decay.Factor(now.Sub(s.correctedAt), correctionDoubling))
	s.correctedAt = now
	return s.correction
}

// rejected reduces the limit after a rejection by an endpoint. share is the share that was decided when the request
// was sent. If all requests could be sent then, the rejection shows that the crowd wasn't noticed yet or that one
// endpoint fails, not that the service has less room than assumed.
func (s *service) rejected(now time.Time, share float64) {
	if share >= 1 || now.Sub(s.lastDecrease) < correctionGap {
		return
	}
	s.lastDecrease = now
	s.correction = max(minCorrection, s.recovered(now)*rejectionFactor)
}
