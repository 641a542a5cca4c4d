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

// reportFaults concern what servers report of themselves in responses. They have a random
// generator of their own, so that other faults of a seed are drawn independently of them.
var reportFaults = []fault{
	{"announce", "a server's responses say that it is leaving, its entry does so before, after or not at all, for up to 5 s; then another incarnation starts", affectsNone, affectsNone, (*injector).announce},
	{"rest", "a server, or all servers, reject all requests with a Retry-After of up to 3 s, for up to 2 s", affectsNone, affectsNone, (*injector).backOff},
}

const (
	// reportStream is the stream of a seed's random numbers for reportFaults.
	reportStream = 1 << 20
	// maxBetweenReportFaults is the longest time between the starts of two reportFaults.
	maxBetweenReportFaults = 3 * time.Second
	maxAnnouncement        = 5 * time.Second
	maxBackoffMilliseconds = 3000
	maxShedding            = 2 * time.Second
)

// An announcement is a period in which a server's responses reported that it was leaving.
type announcement struct {
	server      string
	from, until time.Time
}

// announce makes a server announce in its responses that it is leaving, and then starts
// another incarnation of it. Announcements do not overlap.
func (in *injector) announce(random *rand.Rand, _ int) {
	in.announcing.Lock()
	defer in.announcing.Unlock()
	a := announcement{server: servers[random.IntN(len(servers))], from: time.Now()}
	entry := random.IntN(3) // when the entry changes: before, after, never
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
	born := startEpoch + startRange + len(in.announcements) // different from all other incarnations
	in.mu.Unlock()
	in.applyState(a.server, stateReady, fmt.Sprintf(`{"server":%q,"leaving":false,"state":%q,"born":%d}`, a.server, stateReady, born))
}

// backOff makes a server, or all servers, reject requests and ask for a back-off.
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

// restartNoticeTime is how long a gateway may not have noticed that a server restarted: it
// reads the list of endpoints after the longest outage of the store. As responses don't
// name incarnations, a report of the new one is attributed to the old one meanwhile.
const restartNoticeTime = maxStoreFault + time.Second

// checkAnnounced checks that a gateway process sent no call to a server after it had
// forwarded a response that announced that the server was leaving, unless the server had
// restarted since restartNoticeTime before that response.
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
			forwarded := p.leaving && p.server == c.server && p.gateway == c.gateway && p.incarnation == c.incarnation
			if forwarded && p.sent.After(a.from) && p.ended.Before(c.sent) && !record.restarted(c.server, p.sent.Add(-restartNoticeTime), c.ended) {
				return fmt.Sprintf("answered by %s, %s after the gateway had forwarded that the server is leaving (%s)", c.server, c.sent.Sub(p.ended), p.id)
			}
		}
	}
	return ""
}

// restarted reports whether a server's entry changed to another incarnation between two
// times.
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
	// inFlightMargin is how long after a refusal requests that were sent before it may
	// still arrive.
	inFlightMargin = 500 * time.Millisecond
	// maxDuringBackoff is the maximum number of requests of one gateway that may arrive
	// after that margin during a back-off.
	maxDuringBackoff = 2
)

// checkBackoffs checks that a server that refused a gateway's request with a Retry-After
// got at most maxDuringBackoff further requests from it in that time, unless excusesBackoff
// applies.
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
			seconds, err := strconv.ParseFloat(refusal.RetryAfter, 64)
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
				t.Errorf("rests: %s got %d requests from %s during the back-off of %s s that it had asked for at %6.3f", server, arrived, in.fleet.gateways[c.gateway].name, refusal.RetryAfter, refusal.At.Sub(in.began).Seconds())
			}
		}
	}
	t.Logf("%d requests were refused with a Retry-After, %d servers announced that they were leaving", count, len(in.announcements))
}

// excusesBackoff reports whether requests may have arrived during a back-off because a
// fault affected the gateway, the server restarted, or the machine stalled for longer than
// inFlightMargin.
func (r *runRecord) excusesBackoff(gateway int, server string, from, until time.Time) bool {
	for _, window := range slices.Concat(r.interruptions, r.outages) {
		if window.gateway == gateway && window.from.Before(until) && window.until.After(from) {
			return true
		}
	}
	return r.stalls.between(from, until) > inFlightMargin || r.restarted(server, from, until)
}
