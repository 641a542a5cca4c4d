package soak

import (
	"fmt"
	"time"
)

// checkDeparted checks that a call was not answered by a server that takes no requests.
func checkDeparted(c *call, record *runRecord) string {
	if !record.inTouch(c) {
		return ""
	}
	return record.answeredByUnavailable(c)
}

// answeredByUnavailable returns what is wrong with a call that was answered by a server which had drained or left the list
// for longer than drainBound when the call was sent, and was not back by its end.
func (r *runRecord) answeredByUnavailable(c *call) string {
	if c.server == "" {
		return ""
	}
	for i := range r.stateChanges {
		change := &r.stateChanges[i]
		if change.server != c.server || change.state == stateReady || c.sent.Before(change.accepted) {
			continue
		}
		since := r.durableSince(change.accepted, drainBound)
		late := c.sent.Sub(since) - drainBound - r.stalls.between(since, c.sent)
		if late > 0 && !r.readyAgain(i, c.ended) {
			return fmt.Sprintf("answered by %s, which was %s for %s when it was sent", c.server, change.state, c.sent.Sub(since))
		}
	}
	return ""
}

// readyAgain reports whether a server that takes no requests since the i-th change was in the
// list as ready again by some time.
func (r *runRecord) readyAgain(i int, by time.Time) bool {
	for _, later := range r.stateChanges[i+1:] {
		if later.server == r.stateChanges[i].server && later.state == stateReady && later.sent.Before(by) {
			return true
		}
	}
	return false
}
