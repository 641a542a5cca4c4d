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
	{"drain", "a request that ran is cut off by a stop only in the last sixth of the grace period, and only if it was sent at most admitTime after SIGTERM", checkDrain},
	{"closed", "a request that was sent whole gets an answer, unless it crosses the one moment of a stop at which connections are closed", checkClosed},
	{"unanswered", "each request has an answer answerMargin after its deadline, unless its gateway was killed or frozen", checkUnanswered},
	{"configuration", "a gateway in touch serves by no version that was replaced more than bounds.configuration ago", checkConfiguration},
	{"regress", "a process that has served by a version serves by no older one later", checkRegress},
	{"refused", "as in basicChecks", checkRefused},
	{"departed", "as in basicChecks", checkDeparted},
	{"withheld", "as in basicChecks", checkWithheld},
	{"evacuated", "as in basicChecks", checkEvacuated},
	{"denied", "no route or key that all versions have is answered with 401, 403 or 404", checkDenied},
}

const (
	// admitTime is how long after SIGTERM a gateway may take requests that it cuts off at
	// the end of its grace period. Set by: the platform's RULES page.
	admitTime = 3 * time.Second
	// lastPart of the grace period is when it may cut them off. Set by: the same page.
	lastPart = 6
	// signalMargin is how long a signal may take to be noticed.
	signalMargin = 200 * time.Millisecond
	// crossingTime is how long a request that crosses the close of its connection may
	// take until its caller notices.
	crossingTime = time.Second
	// closeSpan is how long a gateway that stops may take to close its idle connections:
	// net/http looks for them every 500 ms.
	closeSpan = time.Second
)

// stopOf returns the stop of a call's gateway during the call, or nil. If its process got
// several SIGTERMs, it is the first one's.
func (e *evidence) stopOf(c *call) *stop {
	var first *stop
	for i := range e.stops {
		s := &e.stops[i]
		during := s.gateway == c.gateway && s.ordered.Before(c.ended) && c.sent.Before(s.ended)
		if during && (first == nil || s.ordered.Before(first.ordered)) {
			first = s
		}
	}
	return first
}

// inTouch reports whether a call's gateway was in touch: from bounds.contact before the
// call to its end, nothing disturbed it.
func (e *evidence) inTouch(c *call) bool { return e.inTouchBeside(c, nil) }

// inTouchBeside reports the same, as if some of the outages had not been.
func (e *evidence) inTouchBeside(c *call, left []cut) bool {
	for _, outage := range e.outages {
		if slices.Contains(left, outage) {
			continue
		}
		if outage.strikes(c.gateway) && c.ended.After(outage.from) && c.sent.Before(outage.until.Add(e.bounds.contact)) {
			return false
		}
	}
	return true
}

// checkDrain checks what a stop does to requests that run. They are not cut off before
// the last sixth of the grace period, and those sent later than admitTime after SIGTERM
// not at all.
func checkDrain(c *call, seen *evidence) string {
	if c.err == nil || seen.runs == 0 || c.ended.Sub(c.sent) >= callTime || seen.mayBeCut(c) {
		return ""
	}
	s := seen.stopOf(c)
	if s == nil {
		return fmt.Sprintf("cut off though nothing struck: %v", c.err)
	}
	sent, ended := c.sent.Sub(s.ordered), c.ended.Sub(s.ordered)
	noticed := signalMargin + seen.stalls.between(s.ordered, c.sent)
	switch {
	case sent > admitTime+noticed:
		return fmt.Sprintf("sent %s after SIGTERM, taken, and cut off %s after it: %v", sent, ended, c.err)
	case ended < seen.bounds.grace-seen.bounds.grace/lastPart:
		return fmt.Sprintf("cut off %s after SIGTERM: %v", ended, c.err)
	}
	return ""
}

// wasClosed reports whether a call was sent whole and did not run, and got no answer.
func (e *evidence) wasClosed(c *call) bool {
	return c.err != nil && e.runs == 0 && !c.written.IsZero() && c.ended.Sub(c.sent) < callTime && !e.mayBeCut(c)
}

// markCloses notes for each stop when it closed the first call without an answer.
func markCloses(calls []call, runs map[string]int, in *injector) {
	for i := range calls {
		c := &calls[i]
		seen := in.evidence(runs[c.id])
		s := seen.stopOf(c)
		if s == nil || !seen.wasClosed(c) {
			continue
		}
		if s.closedAt.IsZero() || c.ended.Before(s.closedAt) {
			s.closedAt = c.ended
		}
	}
}

// checkClosed checks that a request that was sent whole and did not run got an answer. A
// stop closes idle connections once: only requests that cross that moment get none.
func checkClosed(c *call, seen *evidence) string {
	if !seen.wasClosed(c) {
		return ""
	}
	after := c.ended.Sub(c.written)
	s := seen.stopOf(c)
	if s == nil || after > crossingTime+seen.stalls.between(c.written, c.ended) {
		return fmt.Sprintf("closed without an answer %s after it was sent whole: %v", after, c.err)
	}
	if later := c.ended.Sub(s.closedAt); later > closeSpan+seen.stalls.between(s.closedAt, c.ended) {
		return fmt.Sprintf("closed without an answer %s after the first call of the stop that was: %v", later, c.err)
	}
	return ""
}

// checkUnanswered checks that a call did not end by its caller's own patience, which is
// longer than the deadline.
func checkUnanswered(c *call, seen *evidence) string {
	if c.err == nil || c.ended.Sub(c.sent) < callTime+answerMargin {
		return ""
	}
	if seen.stalls.between(c.sent, c.ended) >= answerMargin {
		return "" // the machine stood still for as long as the caller waited more
	}
	for _, cut := range seen.cuts {
		if cut.gateway == c.gateway && c.ended.After(cut.from) && c.sent.Before(cut.until) {
			return ""
		}
	}
	return fmt.Sprintf("no answer, or no end of it, %s after its deadline: %v", c.ended.Sub(c.sent)-callTime, c.err)
}

// checkConfiguration checks the version by which a gateway in touch has served a request
// for the own route of one version.
func checkConfiguration(c *call, seen *evidence) string {
	if c.probes == 0 || !seen.inTouch(c) {
		return ""
	}
	oldest, newest := seen.versions(c)
	switch {
	case c.status == http.StatusOK && c.probes < oldest:
		return fmt.Sprintf("served by version %d, %s after version %d was accepted", c.probes, c.sent.Sub(seen.accepted(oldest)), oldest)
	case c.status == http.StatusNotFound && c.probes == oldest && c.probes == newest:
		return fmt.Sprintf("404 on a route of version %d, %s after that was accepted", oldest, c.sent.Sub(seen.accepted(oldest)))
	}
	return ""
}

// versions returns the oldest and the newest version by which a gateway in touch may
// serve a call.
func (e *evidence) versions(c *call) (oldest, newest int) {
	for i := range e.changes {
		one := &e.changes[i]
		kept := e.keptSince(one.accepted, e.bounds.configuration)
		bound := e.bounds.configuration + e.stalls.between(kept, c.sent)
		if i == 0 || c.sent.After(kept.Add(bound)) {
			oldest = one.Version
		}
		if one.sent.Before(c.ended) {
			newest = one.Version
		}
	}
	return oldest, newest
}

// accepted returns when a version was accepted.
func (e *evidence) accepted(version int) time.Time {
	for i := range e.changes {
		if e.changes[i].Version == version {
			return e.changes[i].accepted
		}
	}
	return time.Time{}
}

// checkDenied checks that a request is not refused for good that all versions allow.
func checkDenied(c *call, _ *evidence) string {
	if c.probes > 0 || c.secondKey {
		return ""
	}
	switch c.status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return fmt.Sprintf("status %d for what all versions allow", c.status)
	}
	return ""
}
