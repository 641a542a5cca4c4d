package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// check checks what must hold of each call, whatever has struck the fleet.
func check(t *testing.T, calls []call, runs map[string]int, s *striker) {
	t.Helper()
	served := 0
	for i := range calls {
		c := &calls[i]
		for _, problem := range []string{
			checkAnswer(c),
			checkRuns(c, runs[c.id]),
			checkKey(c, runs[c.id], s.configurations),
			checkStop(c, runs[c.id], s.spans),
		} {
			if problem != "" {
				t.Errorf("%s of %s at %s, sent %6.3f, ended %6.3f: %s", c.id, c.route, s.fleet.gateways[c.gateway].name,
					c.sent.Sub(s.began).Seconds(), c.ended.Sub(s.began).Seconds(), problem)
			}
		}
		if c.status == http.StatusOK && c.err == nil {
			served++
		}
	}
	t.Logf("%d calls, %d served, %d gateways, %d faults", len(calls), served, len(s.fleet.gateways), len(s.story))
}

// checkAnswer checks that a success is the whole answer to the call's own
// request.
func checkAnswer(c *call) string {
	if c.status != http.StatusOK || c.err != nil {
		return ""
	}
	if c.route != routeStream {
		if !strings.HasPrefix(c.body, "answer to "+c.id+" of ") {
			return fmt.Sprintf("a foreign or broken answer: %q", c.body)
		}
		return ""
	}
	var want strings.Builder
	for event := 1; event <= streamEvents; event++ {
		fmt.Fprintf(&want, "id: %d\ndata: event %d\n\n", event, event)
	}
	if c.body != want.String() && !strings.HasPrefix(c.body, "answer to "+c.id+" of ") {
		return fmt.Sprintf("a stream that is not whole looks complete: %q", c.body)
	}
	return ""
}

// promises are the statuses by which a caller is told that nothing has run.
var promises = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// checkRuns checks that a request ran no more often than it may, and not at all
// where the caller was told so.
func checkRuns(c *call, runs int) string {
	most := 1
	if c.route == routeSafe {
		most = maxAttempts
	}
	switch {
	case runs > most:
		return fmt.Sprintf("ran %d times", runs)
	case promises[c.status] && runs > 0:
		return fmt.Sprintf("status %d, but it ran", c.status)
	case c.status == http.StatusOK && runs == 0:
		return "answered, but it never ran"
	}
	return ""
}

// checkKey checks that nothing ran whose key had been taken away for longer than
// the bound.
func checkKey(c *call, runs int, changes []change) string {
	if !c.second || runs == 0 {
		return ""
	}
	for i, change := range changes {
		if change.Second || !c.sent.After(change.accepted.Add(revoke)) {
			continue
		}
		if i+1 == len(changes) || c.ended.Before(changes[i+1].sent) {
			return fmt.Sprintf("ran %s after version %d took its key away", c.sent.Sub(change.accepted), change.Version)
		}
	}
	return ""
}

// stopMargin is how long before and after a fault a broken call is put down to it.
const stopMargin = time.Second

// checkStop checks that a planned stop alone cuts no request off that has run.
func checkStop(c *call, runs int, spans []span) string {
	if c.err == nil || runs == 0 || c.ended.Sub(c.sent) >= callTime {
		return "" // nothing is wrong, nothing ran, or the caller's own time was over
	}
	for _, s := range spans {
		if s.gateway != c.gateway && s.gateway >= 0 {
			continue
		}
		if !s.stop && c.ended.After(s.from.Add(-stopMargin)) && c.sent.Before(s.until.Add(stopMargin)) {
			return ""
		}
	}
	return fmt.Sprintf("cut off though nothing but stops could strike it: %v", c.err)
}
