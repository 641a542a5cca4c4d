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
	{"announce", "a server's answers say that it leaves, its entry does so before, after or not, for up to 5 s; it is back as another life", affectsNone, affectsNone, (*injector).announce},
	{"rest", "a server, or each of a service, turns all away and asks for up to 3 s of rest, for up to 2 s", affectsNone, affectsNone, (*injector).backOff},
}

const (
	// reportStream is the stream of a seed's random numbers from which reportFaults are drawn.
	reportStream = 1 << 20
	// maxBetweenReportFaults is the longest time between the beginnings of two reportFaults.
	maxBetweenReportFaults = 3 * time.Second
	maxAnnouncement        = 5 * time.Second
	maxBackoffMilliseconds = 3000
	maxShedding            = 2 * time.Second
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
	a := announcement{server: servers[random.IntN(len(servers))], from: time.Now()}
	entry := random.IntN(3) // before, after, never
	if entry == 0 {
		in.setState(a.server, stateDraining)
	}
	in.post(fmt.Sprintf(`{"server":%q,"leaving":true}`, a.server))
	pause(random, maxAnnouncement)
	if entry == 1 {
		in.setState(a.server, stateDraining)
		pause(random, time.Second)
	}
	a.until = time.Now()
	in.mu.Lock()
	in.announcements = append(in.announcements, a)
	born := startEpoch + startRange + len(in.announcements) // no other life has it
	in.mu.Unlock()
	in.applyState(a.server, stateReady, fmt.Sprintf(`{"server":%q,"leaving":false,"state":%q,"born":%d}`, a.server, stateReady, born))
}

// rest makes a server, or all servers, turn requests away and ask for rest.
func (in *injector) backOff(random *rand.Rand, _ int) {
	in.backingOff.Lock()
	defer in.backingOff.Unlock()
	server := servers[random.IntN(len(servers))]
	if random.IntN(4) == 0 {
		server = "" // all
	}
	retryAfter := float64(random.IntN(maxBackoffMilliseconds)) / 1000
	in.post(fmt.Sprintf(`{"server":%q,"fault":"shed","requests":-1,"rest":"%.3f"}`, server, retryAfter))
	pause(random, maxShedding)
	in.post(fmt.Sprintf(`{"server":%q,"fault":"","requests":0,"rest":""}`, server))
}

// restartNoticeTime is for how long a gateway may not know yet that a server has started again: it reads the list,
// after the longest outage of the store. What the next life says is then taken for the life before it, since
// answers don't name lives.
const restartNoticeTime = maxStoreFault + time.Second

// checkAnnounced checks that a call was not sent on to a server after the same life of the gateway had passed on
// an answer that said that the server leaves, unless the server had started again, up to restartNoticeTime before.
func checkAnnounced(c *call, record *runRecord) string {
	if c.server == "" || c.incarnation == 0 {
		return ""
	}
	for _, a := range record.announcements {
		if a.server != c.server || c.sent.Before(a.from) || c.ended.After(a.until) {
			continue
		}
		for i := range record.calls {
			p := &record.calls[i]
			passed := p.leaving && p.server == c.server && p.gateway == c.gateway && p.incarnation == c.incarnation
			if passed && p.sent.After(a.from) && p.ended.Before(c.sent) && !record.restarted(c.server, p.sent.Add(-restartNoticeTime), c.ended) {
				return fmt.Sprintf("answered by %s, %s after the gateway had passed on that it leaves (%s)", c.server, c.sent.Sub(p.ended), p.id)
			}
		}
	}
	return ""
}

// started reports whether a server started again between two times, as its entry says it.
func (r *runRecord) restarted(server string, from, until time.Time) bool {
	for i := range r.stateChanges {
		s := &r.stateChanges[i]
		if s.server == server && s.newIncarnation && s.accepted.After(from) && s.sent.Before(until) {
			return true
		}
	}
	return false
}

const (
	// inFlightMargin is for how long after a refusal requests may still arrive that were sent before it.
	inFlightMargin = 500 * time.Millisecond
	// maxDuringBackoff is how many requests of one gateway may arrive in a rest after that.
	maxDuringBackoff = 2
)

// checkBackoffs checks that a server which has refused a request of a gateway and asked for rest got no more than
// maxDuringBackoff requests of it in that time, unless a fault struck the gateway, or the server started again.
func checkBackoffs(t *testing.T, calls []call, refusals map[string][]appserver.Refusal, in *injector) {
	t.Helper()
	record := in.record(0)
	byID := make(map[string]*call, len(calls))
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	count := 0
	for server, list := range refusals {
		for i, refusal := range list {
			count++
			c := byID[refusal.Request]
			seconds, err := strconv.ParseFloat(refusal.Rest, 64)
			if c == nil || c.incarnation == 0 || err != nil {
				continue
			}
			end := refusal.At.Add(time.Duration(seconds * float64(time.Second)))
			if record.excusesBackoff(c.gateway, server, refusal.At, end) {
				continue
			}
			arrived := 0
			for _, later := range list[i+1:] {
				other := byID[later.Request]
				same := other != nil && other.gateway == c.gateway && other.incarnation == c.incarnation
				if same && later.At.After(refusal.At.Add(inFlightMargin)) && later.At.Before(end) {
					arrived++
				}
			}
			if arrived > maxDuringBackoff {
				t.Errorf("rests: %s got %d requests of %s in the %s s of rest that it had asked for at %6.3f", server, arrived, in.fleet.gateways[c.gateway].name, refusal.Rest, refusal.At.Sub(in.began).Seconds())
			}
		}
	}
	t.Logf("%d requests were refused with a rest, %d servers said that they leave", count, len(in.announcements))
}

// excusesBackoff reports whether a fault struck a gateway in a rest, or the machine stood still for long enough that
// requests were on their way, or the server started again.
func (r *runRecord) excusesBackoff(gateway int, server string, from, until time.Time) bool {
	for _, window := range slices.Concat(r.interruptions, r.outages) {
		if window.gateway == gateway && window.from.Before(until) && window.until.After(from) {
			return true
		}
	}
	return r.stalls.between(from, until) > inFlightMargin || r.restarted(server, from, until)
}
