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
	name      string
	invariant string
	check     func(c *call, record *runRecord) string
}

// basicChecks are the checks of basicPlan. Besides, a run fails if a gateway ends by
// itself (keep), and if the fleet does not serve again within conditionTimeout after the
// last fault (soak).
var basicChecks = []check{
	{"answer", "a 200 carries the whole answer to the call's own request", checkAnswer},
	{"runs", "a request runs at most once, an idempotent one twice; one refused as not run, never", checkRuns},
	{"key", "nothing runs whose key was revoked more than bounds.revoke ago", checkKey},
	{"stop", "a request that ran is cut off only beside a fault that may cut it", checkStop},
	{"refused", "a gateway that stops takes connections until the load balancer can know", checkRefused},
	{"departed", "a gateway in touch serves by no server that has drained or left the list for longer than drainBound", checkDeparted},
	{"withheld", "the same beside a restore of the store, for a server that had done so for longer than drainBound", checkWithheld},
	{"announced", "a gateway sends nothing more to a server whose answer, passed on by it, has said that it leaves", checkAnnounced},
	{"evacuated", "no server of a failure domain that was evacuated longer than evacuationBound ago is sent anything, also beside a restore of the store", checkEvacuated},
}

// evidence is what checks are given besides a call.
type runRecord struct {
	runs          int                   // how often the call's request ran, on all servers
	calls         []call                // of the whole run
	changes       []configurationChange // of the configuration, in their order
	interruptions []faultWindow
	outages       []faultWindow // times in which gateways were out of touch
	stops         []stop
	stateChanges  []stateChange
	bounds        bounds
	stalls        *stallRecorder
	// restores are those outages in which the store was restored.
	restores      []storeRestore
	evacuations   []evacuation
	announcements []announcement
}

// mayBeInterrupted reports whether a fault could cut a call off although its request ran.
func (r *runRecord) mayBeInterrupted(c *call) bool {
	for _, window := range r.interruptions {
		if window.affects(c.gateway) && c.ended.After(window.from.Add(-interruptionMargin)) && c.sent.Before(window.until.Add(interruptionMargin)) {
			return true
		}
	}
	return false
}

// strikes reports whether a cut is felt through a gateway.
func (w *faultWindow) affects(gateway int) bool {
	return w.gateway == gateway || w.gateway == allGateways
}

// checkCalls checks all calls of a run.
func checkCalls(t *testing.T, calls []call, runs map[string]int, in *injector) {
	t.Helper()
	served, probes, late := 0, 0, 0
	recordCloses(calls, runs, in)
	for i := range calls {
		c := &calls[i]
		record := in.record(runs[c.id])
		record.calls = calls
		for _, check := range in.plan.checks {
			if problem := check.check(c, record); problem != "" {
				t.Errorf("%s: %s of %s at %s, sent %6.3f, ended %6.3f: %s", check.name, c.id, c.route, in.fleet.gateways[c.gateway].name,
					c.sent.Sub(in.began).Seconds(), c.ended.Sub(in.began).Seconds(), problem)
			}
		}
		if c.served() {
			served++
		}
		if c.probedVersion > 0 && c.status > 0 && record.inTouch(c) {
			probes++
		}
		if s := record.stopOf(c); s != nil && c.sent.Sub(s.signaled) > admitWindow && c.status > 0 {
			late++
		}
	}
	t.Logf("%d calls, %d served, %d judged by their version, %d late in a stop, %d gateways, %d lines of the timeline, %d steps of the store's clock, stalls of %s",
		len(calls), served, probes, late, len(in.fleet.gateways), len(in.timeline), in.clockSteps.Load(), in.fleet.stalls.between(in.began, time.Now()))
}

// checkStops checks that each process that was stopped was not ready from then on, so that
// the load balancer sends callers elsewhere, and that it has ended within its grace period,
// unless it was frozen meanwhile or the machine stood still.
func checkStops(t *testing.T, in *injector) {
	t.Helper()
	record := in.record(0)
	for i := range in.stops {
		s := &in.stops[i]
		if record.disturbed(s) {
			continue
		}
		name, signaled := in.fleet.gateways[s.gateway].name, s.signaled.Sub(in.began).Seconds()
		if s.overdue && record.stalls.between(s.signaled, s.ended) < minStopStall {
			t.Errorf("stops: %s was still there %s after SIGTERM at %6.3f", name, in.plan.bounds.grace, signaled)
		}
		if s.readyAt != nil && s.readyAt.Sub(s.signaled) > signalMargin+record.stalls.between(s.signaled, *s.readyAt) {
			t.Errorf("stops: %s was ready %s after SIGTERM at %6.3f", name, s.readyAt.Sub(s.signaled), signaled)
		}
	}
}

// minStopStall is for how long the machine must have stood still in a stop that took longer
// than its grace period: less than the 0.7 s before its end at which a gateway closes what
// is open. Any stall was enough before, and beside other work there always is one.
const minStopStall = 500 * time.Millisecond

// struck reports whether another fault struck the process of a stop meanwhile.
func (r *runRecord) disturbed(s *stop) bool {
	end := s.signaled.Add(r.bounds.grace)
	for _, window := range r.interruptions {
		if window.gateway == s.gateway && window.from.Before(end) && window.until.After(s.signaled) {
			return true
		}
	}
	return false
}

// evidence returns what the checks are given besides a call whose request has run some
// times.
func (in *injector) record(runs int) *runRecord {
	return &runRecord{
		runs:          runs,
		changes:       in.changes,
		interruptions: in.interruptions,
		outages:       in.outages, restores: in.restores, evacuations: in.evacuations, announcements: in.announcements,
		stops:        in.stops,
		stateChanges: in.stateChanges,
		bounds:       in.plan.bounds,
		stalls:       &in.fleet.stalls,
	}
}

// checkAnswer checks that a success is the whole answer to the call's own request: a
// stream with all of its events, or a plain answer that names the request. Servers of
// streams give plain answers too, under some faults.
func checkAnswer(c *call, _ *runRecord) string {
	if !c.served() || strings.HasPrefix(c.body, "answer to "+c.id+" of ") {
		return ""
	}
	if c.route != routeStream {
		return fmt.Sprintf("a foreign or broken answer: %q", c.body)
	}
	if c.body != completeStream() {
		return fmt.Sprintf("a stream that is not whole looks complete: %q", c.body)
	}
	return ""
}

// completeStream returns the body of a stream with all of its events.
func completeStream() string {
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
func checkRuns(c *call, record *runRecord) string {
	limit := 1
	if c.idempotent() {
		limit = maxAttempts
	}
	switch {
	case record.runs > limit:
		return fmt.Sprintf("ran %d times", record.runs)
	case notRunStatuses[c.status] && record.runs > 0:
		return fmt.Sprintf("status %d, but it ran", c.status)
	case c.status == http.StatusOK && record.runs == 0:
		return "answered, but it never ran"
	}
	return ""
}

// checkKey checks that a call that ran was not sent with a key that had been revoked
// for longer than the bound, and still was when the call ended.
func checkKey(c *call, record *runRecord) string {
	if !c.secondKey || record.runs == 0 {
		return ""
	}
	for i, change := range record.changes {
		durable := record.durableSince(change.accepted, record.bounds.configuration)
		if change.SecondKey || !c.sent.After(durable.Add(record.bounds.revoke)) {
			continue
		}
		if i+1 == len(record.changes) || c.ended.Before(record.changes[i+1].sent) {
			return fmt.Sprintf("ran %s after version %d revoked its key", c.sent.Sub(durable), change.Version)
		}
	}
	return ""
}

// interruptionMargin is how long before and after a fault a broken call is put down to
// it: some times what a signal or a reset takes to be seen at the other end.
const interruptionMargin = time.Second

// checkStop checks that a request that ran was not cut off, unless a fault could do
// that. A planned stop can't.
func checkStop(c *call, record *runRecord) string {
	if c.err == nil || record.runs == 0 || c.ended.Sub(c.sent) >= callTimeout {
		return "" // nothing is wrong, nothing ran, or the caller's own time was over
	}
	if record.mayBeInterrupted(c) {
		return ""
	}
	return fmt.Sprintf("cut off though nothing but stops could strike it: %v", c.err)
}
