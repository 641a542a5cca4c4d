package soak

import (
	"fmt"
	"time"
)

// checkDeparted checks that a gateway in touch used no server that was draining or gone.
func checkDeparted(c *call, record *runRecord) string {
	if !record.inTouch(c) {
		return ""
	}
	return record.answeredByUnavailable(c)
}

// answeredByUnavailable describes the violation if a call was answered by a server that had
// been draining or gone for longer than drainBound when the call was sent, and was not
// ready again by its end.
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

// readyAgain reports whether the server of the i-th state change was listed as ready again
// by the given time.
func (r *runRecord) readyAgain(i int, by time.Time) bool {
	for _, later := range r.stateChanges[i+1:] {
		if later.server == r.stateChanges[i].server && later.state == stateReady && later.sent.Before(by) {
			return true
		}
	}
	return false
}
