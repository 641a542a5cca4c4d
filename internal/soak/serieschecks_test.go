package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// seriesChecks are the checks of seriesPlan. The first three are those of basicPlan, too;
// "drain" and "closed" take the place of "stop".
var seriesChecks = []check{
	{"answer", "as in basicChecks", checkAnswer},
	{"runs", "as in basicChecks", checkRuns},
	{"key", "as in basicChecks", checkKey},
	{"drain", "a request that ran is cut off by a stop only in the last sixth of the grace period, and only if it was sent at most admitWindow after SIGTERM", checkDrain},
	{"closed", "a request that was sent whole gets an answer, unless it crosses the one moment of a stop at which connections are closed", checkClosed},
	{"unanswered", "each request has an answer responseMargin after its deadline, unless its gateway was killed or frozen", checkUnanswered},
	{"configuration", "a gateway in touch serves by no version that was replaced more than bounds.configuration ago", checkConfiguration},
	{"regress", "a process that has served by a version serves by no older one later", checkRegress},
	{"refused", "as in basicChecks", checkRefused},
	{"departed", "as in basicChecks", checkDeparted},
	{"withheld", "as in basicChecks", checkWithheld},
	{"evacuated", "as in basicChecks", checkEvacuated},
	{"denied", "no route or key that all versions have is answered with 401, 403 or 404", checkDenied},
}

const (
	// admitWindow is how long after SIGTERM a gateway may take requests that it cuts off at
	// the end of its grace period. Set by: the platform's RULES page.
	admitWindow = 3 * time.Second
	// closingFraction of the grace period is when it may cut them off. Set by: the same page.
	closingFraction = 6
	// signalMargin is how long a signal may take to be noticed.
	signalMargin = 200 * time.Millisecond
	// closeNoticeTimeout is how long a request that crosses the close of its connection may
	// take until its caller notices.
	closeNoticeTimeout = time.Second
	// idleCloseTimeout is how long a gateway that stops may take to close its idle connections:
	// net/http looks for them every 500 ms.
	idleCloseTimeout = time.Second
)

// stopOf returns the stop of a call's gateway during the call, or nil. If its process got
// several SIGTERMs, it is the first one's.
func (r *runRecord) stopOf(c *call) *stop {
	var first *stop
	for i := range r.stops {
		s := &r.stops[i]
		during := s.gateway == c.gateway && s.signaled.Before(c.ended) && c.sent.Before(s.ended)
		if during && (first == nil || s.signaled.Before(first.signaled)) {
			first = s
		}
	}
	return first
}

// inTouch reports whether a call's gateway was in touch: from bounds.contact before the
// call to its end, nothing disturbed it.
func (r *runRecord) inTouch(c *call) bool { return r.inTouchIgnoring(c, nil) }

// inTouchIgnoring reports the same, as if some of the outages had not been.
func (r *runRecord) inTouchIgnoring(c *call, ignored []faultWindow) bool {
	for _, outage := range r.outages {
		if slices.Contains(ignored, outage) {
			continue
		}
		if outage.affects(c.gateway) && c.ended.After(outage.from) && c.sent.Before(outage.until.Add(r.bounds.contact)) {
			return false
		}
	}
	return true
}

// checkDrain checks what a stop does to requests that run. They are not cut off before
// the last sixth of the grace period, and those sent later than admitWindow after SIGTERM
// not at all.
func checkDrain(c *call, record *runRecord) string {
	if c.err == nil || record.runs == 0 || c.ended.Sub(c.sent) >= callTimeout || record.mayBeInterrupted(c) {
		return ""
	}
	s := record.stopOf(c)
	if s == nil {
		return fmt.Sprintf("cut off though nothing struck: %v", c.err)
	}
	sent, ended := c.sent.Sub(s.signaled), c.ended.Sub(s.signaled)
	noticed := signalMargin + record.stalls.between(s.signaled, c.sent)
	switch {
	case sent > admitWindow+noticed:
		return fmt.Sprintf("sent %s after SIGTERM, taken, and cut off %s after it: %v", sent, ended, c.err)
	case ended < record.bounds.grace-record.bounds.grace/closingFraction:
		return fmt.Sprintf("cut off %s after SIGTERM: %v", ended, c.err)
	}
	return ""
}

// closedUnanswered reports whether a call was sent whole and did not run, and got no answer.
func (r *runRecord) closedUnanswered(c *call) bool {
	return c.err != nil && r.runs == 0 && !c.written.IsZero() && c.ended.Sub(c.sent) < callTimeout && !r.mayBeInterrupted(c)
}

// recordCloses notes for each stop when it closed the first call without an answer.
func recordCloses(calls []call, runs map[string]int, in *injector) {
	for i := range calls {
		c := &calls[i]
		record := in.record(runs[c.id])
		s := record.stopOf(c)
		if s == nil || !record.closedUnanswered(c) {
			continue
		}
		if s.firstClosedAt.IsZero() || c.ended.Before(s.firstClosedAt) {
			s.firstClosedAt = c.ended
		}
	}
}

// checkClosed checks that a request that was sent whole and did not run got an answer. A
// stop closes idle connections once: only requests that cross that moment get none.
func checkClosed(c *call, record *runRecord) string {
	if !record.closedUnanswered(c) {
		return ""
	}
	after := c.ended.Sub(c.written)
	s := record.stopOf(c)
	if s == nil || after > closeNoticeTimeout+record.stalls.between(c.written, c.ended) {
		return fmt.Sprintf("closed without an answer %s after it was sent whole: %v", after, c.err)
	}
	if later := c.ended.Sub(s.firstClosedAt); later > idleCloseTimeout+record.stalls.between(s.firstClosedAt, c.ended) {
		return fmt.Sprintf("closed without an answer %s after the first call of the stop that was: %v", later, c.err)
	}
	return ""
}

// checkUnanswered checks that a call did not end by its caller's own patience, which is
// longer than the deadline.
func checkUnanswered(c *call, record *runRecord) string {
	if c.err == nil || c.ended.Sub(c.sent) < callTimeout+responseMargin {
		return ""
	}
	if record.stalls.between(c.sent, c.ended) >= responseMargin {
		return "" // the machine stood still for as long as the caller waited more
	}
	for _, window := range record.interruptions {
		if window.gateway == c.gateway && c.ended.After(window.from) && c.sent.Before(window.until) {
			return ""
		}
	}
	return fmt.Sprintf("no answer, or no end of it, %s after its deadline: %v", c.ended.Sub(c.sent)-callTimeout, c.err)
}

// checkConfiguration checks the version by which a gateway in touch has served a request
// for the own route of one version.
func checkConfiguration(c *call, record *runRecord) string {
	if c.probedVersion == 0 || !record.inTouch(c) {
		return ""
	}
	oldest, newest := record.versions(c)
	switch {
	case c.status == http.StatusOK && c.probedVersion < oldest:
		return fmt.Sprintf("served by version %d, %s after version %d was accepted", c.probedVersion, c.sent.Sub(record.accepted(oldest)), oldest)
	case c.status == http.StatusNotFound && c.probedVersion == oldest && c.probedVersion == newest:
		return fmt.Sprintf("404 on a route of version %d, %s after that was accepted", oldest, c.sent.Sub(record.accepted(oldest)))
	}
	return ""
}

// versions returns the oldest and the newest version by which a gateway in touch may
// serve a call.
func (r *runRecord) versions(c *call) (oldest, newest int) {
	for i := range r.changes {
		change := &r.changes[i]
		durable := r.durableSince(change.accepted, r.bounds.configuration)
		bound := r.bounds.configuration + r.stalls.between(durable, c.sent)
		if i == 0 || c.sent.After(durable.Add(bound)) {
			oldest = change.Version
		}
		if change.sent.Before(c.ended) {
			newest = change.Version
		}
	}
	return oldest, newest
}

// accepted returns when a version was accepted.
func (r *runRecord) accepted(version int) time.Time {
	for i := range r.changes {
		if r.changes[i].Version == version {
			return r.changes[i].accepted
		}
	}
	return time.Time{}
}

// checkDenied checks that a request is not refused for good that all versions allow.
func checkDenied(c *call, _ *runRecord) string {
	if c.probedVersion > 0 || c.secondKey {
		return ""
	}
	switch c.status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return fmt.Sprintf("status %d for what all versions allow", c.status)
	}
	return ""
}
