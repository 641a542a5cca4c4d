package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var signaled = time.Unix(1000, 0)

// TestCloseBy guards against connections that are still open when the process is killed.
func TestCloseBy(t *testing.T) {
	assert.Equal(t, CloseBy(signaled, 8*time.Second), signaled.Add(7300*time.Millisecond))
}

// TestBalancerNoticed checks when the load balancer counts as having noticed the shutdown.
func TestBalancerNoticed(t *testing.T) {
	for _, test := range []struct {
		name         string
		sinceSignal  time.Duration
		failedProbes int
		want         bool
	}{
		{"just signaled", 0, 0, false},
		{"one probe failed", 900 * time.Millisecond, 1, false},
		{"two probes failed", time.Second, 2, true},
		{"one probe failed, just before the timeout", 3*time.Second - 1, 1, false},
		{"the timeout has elapsed", 3 * time.Second, 0, true},
	} {
		assert.Equal(t, BalancerNoticed(test.sinceSignal, test.failedProbes), test.want, test.name)
	}
}

// TestNoNewConnections checks when callers have stopped connecting.
func TestNoNewConnections(t *testing.T) {
	for _, test := range []struct {
		name string
		last time.Time
		want bool
	}{
		{"no connection yet", time.Time{}, true},
		{"a connection just arrived", signaled, false},
		{"the last one arrived half a second ago", signaled.Add(-500 * time.Millisecond), false},
		{"the last one arrived longer ago", signaled.Add(-500*time.Millisecond - 1), true},
	} {
		assert.Equal(t, NoNewConnections(signaled, test.last), test.want, test.name)
	}
}

// TestHasTimeFor guards against accepting requests that can't end in time, at their deadline or as
// expected, and streams that are only expected to end in time after estimateWindow.
func TestHasTimeFor(t *testing.T) {
	const early, late = 2500*time.Millisecond - 1, 2500 * time.Millisecond
	const long = 15 * time.Second
	for _, test := range []struct {
		name                                            string
		sinceSignal, untilClose, slowest, untilDeadline time.Duration
		stream, other                                   bool
	}{
		{"early, expected to end", early, 7 * time.Second, 4 * time.Second, long, true, true},
		{"early, not expected to end", early, 6 * time.Second, 4 * time.Second, long, false, false},
		{"early, expected to end soon", early, 1300 * time.Millisecond, 600 * time.Millisecond, long, true, true},
		{"early, no time is left", early, 0, 0, long, false, false},
		{"early, only the margin is left", early, EndMargin, 0, 0, false, false},
		{"early, the connections are closed", early, -time.Second, 0, long, false, false},
		{"early, ends at its deadline, though expected to take longer", early, 6 * time.Second, 5 * time.Second, 5 * time.Second, true, true},
		{"late, expected to end", late, 4800 * time.Millisecond, 10 * time.Millisecond, long, false, true},
		{"late, not expected to end", late, 4800 * time.Millisecond, 3 * time.Second, long, false, false},
		{"late, ends at its deadline", late, 4800 * time.Millisecond, long, 4500 * time.Millisecond, true, true},
		{"late, ends at its deadline, and not in time for its last bytes", late, 4800 * time.Millisecond, long, 4500*time.Millisecond + 1, false, false},
		{"late, no time is left", late, 0, 0, 0, false, false},
	} {
		request := Request{SinceSignal: test.sinceSignal, UntilClose: test.untilClose, Slowest: test.slowest, UntilDeadline: test.untilDeadline}
		assert.Equal(t, HasTimeFor(request), test.other, test.name)
		request.Stream = true
		assert.Equal(t, HasTimeFor(request), test.stream, "%s, a stream", test.name)
	}
}
