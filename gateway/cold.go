package gateway

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/slowstart"
)

// coldUntil returns until when an endpoint counts as cold: by its list entry, and, since that may
// arrive late, for the service's ColdTime after the last evacuation of the endpoint's failure
// domain ended and after the endpoint was last unreachable, since it may have restarted.
func (b *balancer) coldUntil(entry *roster.Entry, service *ryeford.ServiceRule) time.Time {
	until := entry.ColdUntil
	for _, since := range []time.Time{entry.EvacuationEnded, b.detector.ReachableSince(entry.ID)} {
		if since.IsZero() {
			continue
		}
		if end := since.Add(service.ColdTime); end.After(until) {
			until = end
		}
	}
	return until
}

// fleet returns the routers that share the request rate of a cold endpoint, or an empty Fleet if this
// router doesn't know its rank among them.
func (b *balancer) fleet(now time.Time) slowstart.Fleet {
	clock, known := b.clock.UpperBound(now)
	if !known || b.startup.joining(now) {
		return slowstart.Fleet{}
	}
	const order = 0 // constant: if the order changed, a time slot could be assigned twice
	rank, alive := b.peers.Rank(now, order)
	return slowstart.Fleet{Clock: clock, Rank: rank, Routers: max(alive+1, b.minRouters)}
}

// A coldChecker decides, for one choice, whether endpoints that may be cold may be sent a request.
type coldChecker struct {
	balancer *balancer
	now      time.Time
	service  *ryeford.ServiceRule
	fleet    *slowstart.Fleet // computed on first use
}

// timeSlot returns this router's time slot at an endpoint, whether the endpoint is cold, and whether
// the time slot is free. A warm endpoint is always free.
func (c *coldChecker) timeSlot(entry *roster.Entry) (number int64, cold, free bool) {
	if c.service == nil || c.service.ColdRate <= 0 || !c.now.Before(c.balancer.coldUntil(entry, c.service)) {
		return 0, false, true
	}
	if c.fleet == nil {
		fleet := c.balancer.fleet(c.now)
		c.fleet = &fleet
	}
	number, valid := c.fleet.TimeSlot(entry.Hash, c.service.ColdRate)
	return number, true, valid && c.balancer.slowStart.IsFree(entry.ID, number)
}

// check returns whether an endpoint gets a limited number of requests from all routers, because it is
// cold or evacuated, and whether this router may send it a request.
func (c *coldChecker) check(entry *roster.Entry) (limited, allowed bool) {
	if entry.Evacuated {
		return true, false
	}
	_, cold, free := c.timeSlot(entry)
	return cold, free
}

// countWarm returns how many endpoints of a service get a full share of the requests.
func (c *coldChecker) countWarm(service string) int {
	if c.service == nil || c.service.ColdRate <= 0 {
		return c.balancer.roster.Accepting(service)
	}
	n := 0
	for _, entry := range c.balancer.roster.Serving(service) {
		if limited, _ := c.check(entry); !limited {
			n++
		}
	}
	return n
}

// takeTimeSlot takes this router's time slot at an endpoint if the endpoint is cold, and reports
// whether the endpoint may be sent a request.
func (b *balancer) takeTimeSlot(now time.Time, entry *roster.Entry, service *ryeford.ServiceRule) bool {
	c := coldChecker{balancer: b, now: now, service: service}
	number, cold, free := c.timeSlot(entry)
	return !cold || free && b.slowStart.Take(entry.ID, number)
}
