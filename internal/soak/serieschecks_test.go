package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// seriesChecks are the checks of seriesPlan. "drain" and "closed" replace the check "stop"
// of basicChecks.
var seriesChecks = []check{
	{"answer", "as in basicChecks", checkAnswer},
	{"runs", "as in basicChecks", checkRuns},
	{"key", "as in basicChecks", checkKey},
	{"drain", "a stop interrupts a request that ran only in the last sixth of the grace period, and only if it was sent at most admitWindow after SIGTERM", checkDrain},
	{"closed", "a request that was sent completely gets a response, unless it crosses the close of idle connections in a stop", checkClosed},
	{"unanswered", "each request has a response responseMargin after its deadline, unless its gateway was killed or suspended", checkUnanswered},
	{"configuration", "a gateway in touch does not serve by a version that was replaced more than bounds.configuration ago", checkConfiguration},
	{"regress", "a process that has served by a version does not serve by an older one later", checkRegress},
	{"refused", "as in basicChecks", checkRefused},
	{"departed", "as in basicChecks", checkDeparted},
	{"withheld", "as in basicChecks", checkWithheld},
	{"evacuated", "as in basicChecks", checkEvacuated},
	{"denied", "no request with a route and a key that all versions have gets 401, 403 or 404", checkDenied},
}

const (
	// admitWindow is how long after SIGTERM a gateway may admit requests that it interrupts
	// at the end of its grace period, as the platform's rules require.
	admitWindow = 3 * time.Second
	// closingFraction is the divisor of the grace period that gives its last part, in which
	// the gateway may interrupt them, as the platform's rules require.
	closingFraction = 6
	// signalMargin is how long a gateway may take to notice a signal.
	signalMargin = 200 * time.Millisecond
	// closeNoticeTimeout is how long the caller of a request that crosses the close of its
	// connection may take to notice it.
	closeNoticeTimeout = time.Second
	// idleCloseTimeout is how long a stopping gateway may take to close its idle
	// connections. net/http polls for them every 500 ms.
	idleCloseTimeout = time.Second
)

// stopOf returns the stop of a call's gateway during the call, or nil. If its process got
// several SIGTERMs, it returns the first stop.
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

// inTouch reports whether a call's gateway was in touch: there was no outage from
// bounds.contact before the call to its end.
func (r *runRecord) inTouch(c *call) bool { return r.inTouchIgnoring(c, nil) }

// inTouchIgnoring is inTouch without the ignored outages.
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

// checkDrain checks that a stop interrupts no running request before the last sixth of the
// grace period, and none at all that was sent later than admitWindow after SIGTERM.
func checkDrain(c *call, record *runRecord) string {
	if c.err == nil || record.runs == 0 || c.ended.Sub(c.sent) >= callTimeout || record.mayBeInterrupted(c) {
		return ""
	}
	s := record.stopOf(c)
	if s == nil {
		return fmt.Sprintf("interrupted without a fault: %v", c.err)
	}
	sent, ended := c.sent.Sub(s.signaled), c.ended.Sub(s.signaled)
	noticed := signalMargin + record.stalls.between(s.signaled, c.sent)
	switch {
	case sent > admitWindow+noticed:
		return fmt.Sprintf("sent %s after SIGTERM, admitted, and interrupted %s after SIGTERM: %v", sent, ended, c.err)
	case ended < record.bounds.grace-record.bounds.grace/closingFraction:
		return fmt.Sprintf("interrupted %s after SIGTERM: %v", ended, c.err)
	}
	return ""
}

// closedUnanswered reports whether a call was sent completely, did not run and got no
// response.
func (r *runRecord) closedUnanswered(c *call) bool {
	return c.err != nil && r.runs == 0 && !c.written.IsZero() && c.ended.Sub(c.sent) < callTimeout && !r.mayBeInterrupted(c)
}

// recordCloses sets firstClosedAt of each stop.
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

// checkClosed checks that a request that was sent completely and did not run got a
// response. A stop closes idle connections once; only requests that cross that may get
// none.
func checkClosed(c *call, record *runRecord) string {
	if !record.closedUnanswered(c) {
		return ""
	}
	after := c.ended.Sub(c.written)
	s := record.stopOf(c)
	if s == nil || after > closeNoticeTimeout+record.stalls.between(c.written, c.ended) {
		return fmt.Sprintf("closed without a response %s after it was sent completely: %v", after, c.err)
	}
	if later := c.ended.Sub(s.firstClosedAt); later > idleCloseTimeout+record.stalls.between(s.firstClosedAt, c.ended) {
		return fmt.Sprintf("closed without a response %s after the stop first closed a call without one: %v", later, c.err)
	}
	return ""
}

// checkUnanswered checks that a call did not end by its caller's timeout, which is longer
// than the deadline.
func checkUnanswered(c *call, record *runRecord) string {
	if c.err == nil || c.ended.Sub(c.sent) < callTimeout+responseMargin {
		return ""
	}
	if record.stalls.between(c.sent, c.ended) >= responseMargin {
		return "" // the machine stalled for the whole margin
	}
	for _, window := range record.interruptions {
		if window.gateway == c.gateway && c.ended.After(window.from) && c.sent.Before(window.until) {
			return ""
		}
	}
	return fmt.Sprintf("no complete response %s after its deadline: %v", c.ended.Sub(c.sent)-callTimeout, c.err)
}

// checkConfiguration checks the version by which a gateway in touch served a request for a
// probe route.
func checkConfiguration(c *call, record *runRecord) string {
	if c.probedVersion == 0 || !record.inTouch(c) {
		return ""
	}
	oldest, newest := record.versions(c)
	switch {
	case c.status == http.StatusOK && c.probedVersion < oldest:
		return fmt.Sprintf("served by version %d, %s after version %d was accepted", c.probedVersion, c.sent.Sub(record.accepted(oldest)), oldest)
	case c.status == http.StatusNotFound && c.probedVersion == oldest && c.probedVersion == newest:
		return fmt.Sprintf("404 on a route of version %d, %s after this version was accepted", oldest, c.sent.Sub(record.accepted(oldest)))
	}
	return ""
}

// versions returns the oldest and the newest version by which a gateway in touch may serve
// a call.
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

// checkDenied checks that no request that all versions allow is rejected as unauthorized,
// forbidden or not found.
func checkDenied(c *call, _ *runRecord) string {
	if c.probedVersion > 0 || c.secondKey {
		return ""
	}
	switch c.status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		return fmt.Sprintf("status %d for a request that all versions allow", c.status)
	}
	return ""
}
