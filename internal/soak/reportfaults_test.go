package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/ryeford/ryeford/standin/appserver"
)

// reportFaults are what servers say of themselves in their answers. They strike beside the others, from a
// generator of their own, so that the kept seeds draw the same others as before them.
var reportFaults = []fault{
	{"announce", "a server's answers say that it leaves, its entry does so before, after or not, for up to 5 s; it is back as another life", noRequest, noRequest, (*injector).announce},
	{"rest", "a server, or each of a service, turns all away and asks for up to 3 s of rest, for up to 2 s", noRequest, noRequest, (*injector).rest},
}

const (
	// reportStream is the stream of a seed's random numbers from which reportFaults are drawn.
	reportStream = 1 << 20
	// maxBetweenReportFaults is the longest time between the beginnings of two reportFaults.
	maxBetweenReportFaults = 3 * time.Second
	maxAnnouncement        = 5 * time.Second
	maxRestMilliseconds    = 3000
	maxSheds               = 2 * time.Second
)

// An announcement is a time in which a server's answers said that it leaves.
type announcement struct {
	server      string
	from, until time.Time
}

// announce makes a server say with its answers that it leaves, and be back as another life. Announcements come
// one after the other.
func (in *injector) announce(random *rand.Rand, _ int) {
	in.announcing.Lock()
	defer in.announcing.Unlock()
	one := announcement{server: servers[random.IntN(len(servers))], from: time.Now()}
	entry := random.IntN(3) // before, after, never
	if entry == 0 {
		in.enter(one.server, stateDraining)
	}
	in.post(fmt.Sprintf(`{"server":%q,"leaving":true}`, one.server))
	pause(random, maxAnnouncement)
	if entry == 1 {
		in.enter(one.server, stateDraining)
		pause(random, time.Second)
	}
	one.until = time.Now()
	in.mu.Lock()
	in.announced = append(in.announced, one)
	born := lifeEpoch + lifeSpan + len(in.announced) // no other life has it
	in.mu.Unlock()
	in.enterAs(one.server, stateReady, fmt.Sprintf(`{"server":%q,"leaving":false,"state":%q,"born":%d}`, one.server, stateReady, born))
}

// rest makes a server, or all servers, turn requests away and ask for rest.
func (in *injector) rest(random *rand.Rand, _ int) {
	in.resting.Lock()
	defer in.resting.Unlock()
	server := servers[random.IntN(len(servers))]
	if random.IntN(4) == 0 {
		server = "" // all
	}
	rest := float64(random.IntN(maxRestMilliseconds)) / 1000
	in.post(fmt.Sprintf(`{"server":%q,"fault":"shed","requests":-1,"rest":"%.3f"}`, server, rest))
	pause(random, maxSheds)
	in.post(fmt.Sprintf(`{"server":%q,"fault":"","requests":0,"rest":""}`, server))
}

// startLearnt is for how long a gateway may not know yet that a server has started again: it reads the list,
// after the longest outage of the store. What the next life says is then taken for the life before it, since
// answers don't name lives.
const startLearnt = maxStoreFault + time.Second

// checkAnnounced checks that a call was not sent on to a server after the same life of the gateway had passed on
// an answer that said that the server leaves, unless the server had started again, up to startLearnt before.
func checkAnnounced(c *call, seen *evidence) string {
	if c.server == "" || c.life == 0 {
		return ""
	}
	for _, one := range seen.announced {
		if one.server != c.server || c.sent.Before(one.from) || c.ended.After(one.until) {
			continue
		}
		for i := range seen.calls {
			p := &seen.calls[i]
			passed := p.leaving && p.server == c.server && p.gateway == c.gateway && p.life == c.life
			if passed && p.sent.After(one.from) && p.ended.Before(c.sent) && !seen.started(c.server, p.sent.Add(-startLearnt), c.ended) {
				return fmt.Sprintf("answered by %s, %s after the gateway had passed on that it leaves (%s)", c.server, c.sent.Sub(p.ended), p.id)
			}
		}
	}
	return ""
}

// started reports whether a server started again between two times, as its entry says it.
func (e *evidence) started(server string, from, until time.Time) bool {
	for i := range e.states {
		s := &e.states[i]
		if s.server == server && s.starts && s.accepted.After(from) && s.sent.Before(until) {
			return true
		}
	}
	return false
}

const (
	// onTheWay is for how long after a refusal requests may still arrive that were sent before it.
	onTheWay = 500 * time.Millisecond
	// maxInRest is how many requests of one gateway may arrive in a rest after that.
	maxInRest = 2
)

// checkRests checks that a server which has refused a request of a gateway and asked for rest got no more than
// maxInRest requests of it in that time, unless a fault struck the gateway, or the server started again.
func checkRests(t *testing.T, calls []call, refusals map[string][]appserver.Refusal, in *injector) {
	t.Helper()
	seen := in.evidence(0)
	byID := make(map[string]*call, len(calls))
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	count := 0
	for server, list := range refusals {
		for i, asked := range list {
			count++
			c := byID[asked.Request]
			seconds, err := strconv.ParseFloat(asked.Rest, 64)
			if c == nil || c.life == 0 || err != nil {
				continue
			}
			end := asked.At.Add(time.Duration(seconds * float64(time.Second)))
			if seen.excusesRest(c.gateway, server, asked.At, end) {
				continue
			}
			arrived := 0
			for _, later := range list[i+1:] {
				other := byID[later.Request]
				same := other != nil && other.gateway == c.gateway && other.life == c.life
				if same && later.At.After(asked.At.Add(onTheWay)) && later.At.Before(end) {
					arrived++
				}
			}
			if arrived > maxInRest {
				t.Errorf("rests: %s got %d requests of %s in the %s s of rest that it had asked for at %6.3f", server, arrived, in.fleet.gateways[c.gateway].name, asked.Rest, asked.At.Sub(in.began).Seconds())
			}
		}
	}
	t.Logf("%d requests were refused with a rest, %d servers said that they leave", count, len(in.announced))
}

// excusesRest reports whether a fault struck a gateway in a rest, or the machine stood still for long enough that
// requests were on their way, or the server started again.
func (e *evidence) excusesRest(gateway int, server string, from, until time.Time) bool {
	for _, cut := range slices.Concat(e.cuts, e.outages) {
		if cut.gateway == gateway && cut.from.Before(until) && cut.until.After(from) {
			return true
		}
	}
	return e.stalls.between(from, until) > onTheWay || e.started(server, from, until)
}
