package soak

import (
	"fmt"
	"time"
)

// checkDeparted checks that a call was not answered by a server that takes no requests.
func checkDeparted(c *call, seen *evidence) string {
	if !seen.inTouch(c) {
		return ""
	}
	return seen.answeredLate(c)
}

// answeredLate returns what is wrong with a call that was answered by a server which had drained or left the list
// for longer than drainTime when the call was sent, and was not back by its end.
func (e *evidence) answeredLate(c *call) string {
	if c.server == "" {
		return ""
	}
	for i := range e.states {
		away := &e.states[i]
		if away.server != c.server || away.state == stateReady || c.sent.Before(away.accepted) {
			continue
		}
		since := e.keptSince(away.accepted, drainTime)
		late := c.sent.Sub(since) - drainTime - e.stalls.between(since, c.sent)
		if late > 0 && !e.isBack(i, c.ended) {
			return fmt.Sprintf("answered by %s, which was %s for %s when it was sent", c.server, away.state, c.sent.Sub(since))
		}
	}
	return ""
}

// isBack reports whether a server that takes no requests since the i-th change was in the
// list as ready again by some time.
func (e *evidence) isBack(i int, by time.Time) bool {
	for _, later := range e.states[i+1:] {
		if later.server == e.states[i].server && later.state == stateReady && later.sent.Before(by) {
			return true
		}
	}
	return false
}
