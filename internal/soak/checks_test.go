package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A check is one thing that must hold of each call, whatever faults have struck. It
// returns what is wrong, or nothing.
type check struct {
	name  string
	holds string
	check func(c *call, seen *evidence) string
}

// checks are all checks of calls. Besides, a run fails if a gateway ends by itself
// (keep), and if the fleet does not serve again within conditionLimit after the last
// fault (soak).
var checks = []check{
	{"answer", "a 200 carries the whole answer to the call's own request", checkAnswer},
	{"runs", "a request runs at most once, an idempotent one twice; one refused as not run, never", checkRuns},
	{"key", "nothing runs whose key was revoked more than revocationBound ago", checkKey},
	{"stop", "a request that ran is cut off only beside a fault that may cut it", checkStop},
}

// evidence is what checks are given besides a call.
type evidence struct {
	runs    int      // how often the call's request ran, on all servers
	changes []change // of the configuration, in their order
	cuts    []cut
}

// checkCalls checks all calls of a run.
func checkCalls(t *testing.T, calls []call, runs map[string]int, in *injector) {
	t.Helper()
	served := 0
	for i := range calls {
		c := &calls[i]
		seen := &evidence{runs: runs[c.id], changes: in.changes, cuts: in.cuts}
		for _, one := range checks {
			if problem := one.check(c, seen); problem != "" {
				t.Errorf("%s: %s of %s at %s, sent %6.3f, ended %6.3f: %s", one.name, c.id, c.route, in.fleet.gateways[c.gateway].name,
					c.sent.Sub(in.began).Seconds(), c.ended.Sub(in.began).Seconds(), problem)
			}
		}
		if c.served() {
			served++
		}
	}
	t.Logf("%d calls, %d served, %d gateways, %d lines of the timeline", len(calls), served, len(in.fleet.gateways), len(in.timeline))
}

// checkAnswer checks that a success is the whole answer to the call's own request: a
// stream with all of its events, or a plain answer that names the request. Servers of
// streams give plain answers too, under some faults.
func checkAnswer(c *call, _ *evidence) string {
	if !c.served() || strings.HasPrefix(c.body, "answer to "+c.id+" of ") {
		return ""
	}
	if c.route != routeStream {
		return fmt.Sprintf("a foreign or broken answer: %q", c.body)
	}
	if c.body != wholeStream() {
		return fmt.Sprintf("a stream that is not whole looks complete: %q", c.body)
	}
	return ""
}

// wholeStream returns the body of a stream with all of its events.
func wholeStream() string {
	var whole strings.Builder
	for event := 1; event <= streamEvents; event++ {
		fmt.Fprintf(&whole, "id: %d\ndata: event %d\n\n", event, event)
	}
	return whole.String()
}

// notRunStatuses are the statuses that promise a caller that its request has not run.
var notRunStatuses = map[int]bool{
	http.StatusServiceUnavailable: true,
	http.StatusTooManyRequests:    true,
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
}

// checkRuns checks that a request ran no more often than it may, not at all if the
// caller was told so, and at least once if it was served.
func checkRuns(c *call, seen *evidence) string {
	limit := 1
	if c.route == routeSafe {
		limit = maxAttempts
	}
	switch {
	case seen.runs > limit:
		return fmt.Sprintf("ran %d times", seen.runs)
	case notRunStatuses[c.status] && seen.runs > 0:
		return fmt.Sprintf("status %d, but it ran", c.status)
	case c.status == http.StatusOK && seen.runs == 0:
		return "answered, but it never ran"
	}
	return ""
}

// checkKey checks that a call that ran was not sent with a key that had been revoked
// for longer than the bound, and still was when the call ended.
func checkKey(c *call, seen *evidence) string {
	if !c.secondKey || seen.runs == 0 {
		return ""
	}
	for i, change := range seen.changes {
		if change.SecondKey || !c.sent.After(change.accepted.Add(revocationBound)) {
			continue
		}
		if i+1 == len(seen.changes) || c.ended.Before(seen.changes[i+1].sent) {
			return fmt.Sprintf("ran %s after version %d revoked its key", c.sent.Sub(change.accepted), change.Version)
		}
	}
	return ""
}

// cutMargin is how long before and after a fault a broken call is put down to it. Not
// measured: some times what a signal or a reset takes to be seen at the other end.
const cutMargin = time.Second

// checkStop checks that a request that ran was not cut off, unless a fault could do
// that. A planned stop can't.
func checkStop(c *call, seen *evidence) string {
	if c.err == nil || seen.runs == 0 || c.ended.Sub(c.sent) >= callTime {
		return "" // nothing is wrong, nothing ran, or the caller's own time was over
	}
	for _, cut := range seen.cuts {
		if cut.gateway != c.gateway && cut.gateway != allGateways {
			continue
		}
		if c.ended.After(cut.from.Add(-cutMargin)) && c.sent.Before(cut.until.Add(cutMargin)) {
			return ""
		}
	}
	return fmt.Sprintf("cut off though nothing but stops could strike it: %v", c.err)
}
