package gateway

import (
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/gateway/slowstart"
)

// coldUntil returns until when an endpoint is taken for cold: by its own word; and, since that may
// come late, for a service's whole time after its failure domain was taken back and after it was
// found unreachable, when it may have started again.
func (b *balancer) coldUntil(entry *roster.Entry, service *ryeford.ServiceRule) time.Time {
	until := entry.ColdUntil
	for _, since := range []time.Time{entry.Returned, b.detector.ReachableSince(entry.ID)} {
		if since.IsZero() {
			continue
		}
		if end := since.Add(service.ColdTime); end.After(until) {
			until = end
		}
	}
	return until
}

// fleet returns what this router knows of the routers that share what a cold endpoint bears, of none
// if it can't tell its place among them.
func (b *balancer) fleet(now time.Time) slowstart.Fleet {
	clock, known := b.clock.Latest(now)
	if !known || b.start.joining(now) {
		return slowstart.Fleet{}
	}
	const order = 0 // the same at all times, so that a turn isn't dealt twice as shifts change
	rank, alive := b.peers.Rank(now, order)
	return slowstart.Fleet{Clock: clock, Rank: rank, Routers: max(alive+1, b.minRouters)}
}

// A coldness answers, for one choice, whether endpoints may be sent a request though they may be cold.
type coldness struct {
	balancer *balancer
	now      time.Time
	service  *ryeford.ServiceRule
	fleet    *slowstart.Fleet // nil before it is needed
}

// turn returns this router's turn at an endpoint, whether the endpoint is cold, and whether it has a
// turn that it has not taken.
func (c *coldness) turn(entry *roster.Entry) (number int64, cold, free bool) {
	if c.service == nil || c.service.ColdRate <= 0 || !c.now.Before(c.balancer.coldUntil(entry, c.service)) {
		return 0, false, true
	}
	if c.fleet == nil {
		fleet := c.balancer.fleet(c.now)
		c.fleet = &fleet
	}
	number, valid := c.fleet.Turn(entry.Hash, c.service.ColdRate)
	return number, true, valid && c.balancer.slowStart.Free(entry.ID, number)
}

// state returns whether an endpoint gets few requests of all routers, since it is cold or evacuated,
// and whether this one may send it a request.
func (c *coldness) state(entry *roster.Entry) (few, allowed bool) {
	if entry.Evacuated {
		return true, false
	}
	_, cold, free := c.turn(entry)
	return cold, free
}

// countWarm returns how many endpoints of a service get their share of the requests.
func (c *coldness) countWarm(service string) int {
	if c.service == nil || c.service.ColdRate <= 0 {
		return c.balancer.roster.Accepting(service)
	}
	n := 0
	for _, entry := range c.balancer.roster.Serving(service) {
		if few, _ := c.state(entry); !few {
			n++
		}
	}
	return n
}

// takeTurn takes this router's turn at an endpoint, if that is cold, and reports whether it may be
// sent a request.
func (b *balancer) takeTurn(now time.Time, entry *roster.Entry, service *ryeford.ServiceRule) bool {
	c := coldness{balancer: b, now: now, service: service}
	number, cold, free := c.turn(entry)
	return !cold || free && b.slowStart.Take(entry.ID, number)
}
