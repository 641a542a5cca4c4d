package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A check is an invariant of each call, whatever faults were injected. It returns a
// description of the violation, or an empty string.
type check struct {
	name      string
	invariant string
	check     func(c *call, record *runRecord) string
}

// basicChecks are the checks of basicPlan. In addition, a run fails if a gateway process
// exits unexpectedly (supervise), or if the fleet does not serve again within
// conditionTimeout after the last fault (soakFleet).
var basicChecks = []check{
	{"answer", "a response with status 200 is the complete response to the call's request", checkAnswer},
	{"runs", "a request runs at most once, an idempotent one at most twice, and one rejected with a not-run status never", checkRuns},
	{"key", "no request runs whose key was revoked more than bounds.revoke ago", checkKey},
	{"stop", "a request that ran is interrupted only during a fault that may interrupt it", checkStop},
	{"refused", "a gateway that stops accepts connections until the load balancer can have detected that", checkRefused},
	{"departed", "a gateway in touch uses no server that has been draining or gone from the list for longer than drainBound", checkDeparted},
	{"withheld", "the same during a restore of the store, for a server that had been draining or gone for longer than drainBound", checkWithheld},
	{"announced", "a gateway sends no request to a server after it forwarded a response in which that server announced that it is leaving", checkAnnounced},
	{"evacuated", "no server of a failure domain that was evacuated more than evacuationBound ago gets a request, also during a restore of the store", checkEvacuated},
}

// A runRecord is what checks are given in addition to a call.
type runRecord struct {
	runs          int                   // executions of the call's request, on all servers
	calls         []call                // all calls of the run
	changes       []configurationChange // in order
	interruptions []faultWindow
	outages       []faultWindow // when gateways were out of touch
	stops         []stop
	stateChanges  []stateChange
	bounds        bounds
	stalls        *stallRecorder
	// restores are the store restores; each is also an outage.
	restores      []storeRestore
	evacuations   []evacuation
	announcements []announcement
}

// mayBeInterrupted reports whether a fault could interrupt a call although its request ran.
func (r *runRecord) mayBeInterrupted(c *call) bool {
	for _, window := range r.interruptions {
		if window.affects(c.gateway) && c.ended.After(window.from.Add(-interruptionMargin)) && c.sent.Before(window.until.Add(interruptionMargin)) {
			return true
		}
	}
	return false
}

// affects reports whether the fault affects calls through a gateway.
func (w *faultWindow) affects(gateway int) bool {
	return w.gateway == gateway || w.gateway == allGateways
}

// checkCalls checks all calls of a run and logs a summary.
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
	t.Logf("%d calls, %d served, %d checked for their version, %d late in a stop, %d gateways, %d timeline entries, %d steps of the store's clock, %s stalled",
		len(calls), served, probes, late, len(in.fleet.gateways), len(in.timeline), in.clockSteps.Load(), in.fleet.stalls.between(in.began, time.Now()))
}

// checkStops checks that each stopped gateway reports not ready from then on, so that the
// load balancer sends callers elsewhere, and exits within its grace period. Stops that
// another fault disturbed are excluded. Stalls of the machine are allowed for.
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
			t.Errorf("stops: %s was still running %s after SIGTERM at %6.3f", name, in.plan.bounds.grace, signaled)
		}
		if s.lastReadyAt != nil && s.lastReadyAt.Sub(s.signaled) > signalMargin+record.stalls.between(s.signaled, *s.lastReadyAt) {
			t.Errorf("stops: %s still reported ready %s after SIGTERM at %6.3f", name, s.lastReadyAt.Sub(s.signaled), signaled)
		}
	}
}

// minStopStall is the least total stall that excuses a stop for exceeding its grace period.
// It is less than the 0.7 s before the end of the period at which a gateway closes its open
// connections.
const minStopStall = 500 * time.Millisecond

// disturbed reports whether another fault affected the process during a stop.
func (r *runRecord) disturbed(s *stop) bool {
	end := s.signaled.Add(r.bounds.grace)
	for _, window := range r.interruptions {
		if window.gateway == s.gateway && window.from.Before(end) && window.until.After(s.signaled) {
			return true
		}
	}
	return false
}

// record returns the record for a call whose request ran the given number of times.
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

// checkAnswer checks that a response with status 200 is the complete response to the call's
// own request: a stream with all its events, or a plain response that names the request.
// Servers of streams also give plain responses under some faults.
func checkAnswer(c *call, _ *runRecord) string {
	if !c.served() || strings.HasPrefix(c.body, "answer to "+c.id+" of ") {
		return ""
	}
	if c.route != routeStream {
		return fmt.Sprintf("response to another request, or corrupted: %q", c.body)
	}
	if c.body != completeStream() {
		return fmt.Sprintf("incomplete stream was delivered as complete: %q", c.body)
	}
	return ""
}

// completeStream returns the body of a stream with all its events.
func completeStream() string {
	var body strings.Builder
	for event := 1; event <= streamEvents; event++ {
		fmt.Fprintf(&body, "id: %d\ndata: event %d\n\n", event, event)
	}
	return body.String()
}

// notRunStatuses are the statuses that guarantee that the request has not run.
var notRunStatuses = map[int]bool{
	http.StatusServiceUnavailable: true,
	http.StatusTooManyRequests:    true,
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
}

// checkRuns checks that a request ran no more often than its route allows, not at all if
// the status guarantees that, and at least once if it was served.
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
		return "status 200, but it never ran"
	}
	return ""
}

// checkKey checks that no call ran with a key that had been revoked for longer than
// bounds.revoke when the call was sent and was still revoked when it ended.
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

// interruptionMargin is how long before and after a fault an interrupted call is attributed
// to it. It covers the delay until a signal or a reset is noticed at the other end.
const interruptionMargin = time.Second

// checkStop checks that a request that ran was interrupted only if a fault may do that. A
// planned stop may not.
func checkStop(c *call, record *runRecord) string {
	if c.err == nil || record.runs == 0 || c.ended.Sub(c.sent) >= callTimeout {
		return "" // success, never ran, or the caller timed out
	}
	if record.mayBeInterrupted(c) {
		return ""
	}
	return fmt.Sprintf("interrupted though no fault but a stop affected it: %v", c.err)
}
