package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var ordered = time.Unix(1000, 0)

// TestCloseBy checks that a process closes what is open before it is killed.
func TestCloseBy(t *testing.T) {
	assert.Equal(t, CloseBy(ordered, 8*time.Second), ordered.Add(7300*time.Millisecond))
}

// TestNoticed checks when the load balancer counts as having noticed the order to stop.
func TestNoticed(t *testing.T) {
	for _, test := range []struct {
		name         string
		sinceOrder   time.Duration
		failedProbes int
		want         bool
	}{
		{"just ordered", 0, 0, false},
		{"one probe failed", 900 * time.Millisecond, 1, false},
		{"two probes failed", time.Second, 2, true},
		{"one probe failed, and almost long enough", 3*time.Second - 1, 1, false},
		{"waited for long enough", 3 * time.Second, 0, true},
	} {
		assert.Equal(t, Noticed(test.sinceOrder, test.failedProbes), test.want, test.name)
	}
}

// TestQuiet checks when callers have stopped connecting.
func TestQuiet(t *testing.T) {
	for _, test := range []struct {
		name string
		last time.Time
		want bool
	}{
		{"no connection ever", time.Time{}, true},
		{"one just came", ordered, false},
		{"the last came half a second ago", ordered.Add(-500 * time.Millisecond), false},
		{"the last came longer ago", ordered.Add(-500*time.Millisecond - 1), true},
	} {
		assert.Equal(t, Quiet(ordered, test.last), test.want, test.name)
	}
}

// TestLeavesTimeFor checks which requests a stopping process still accepts.
func TestLeavesTimeFor(t *testing.T) {
	for _, test := range []struct {
		left, slowest time.Duration
		want          bool
	}{
		{7 * time.Second, 4 * time.Second, true},
		{6 * time.Second, 4 * time.Second, false},
		{time.Second, 600 * time.Millisecond, true},
		{0, 0, false},
		{-time.Second, 0, false},
	} {
		assert.Equal(t, LeavesTimeFor(test.left, test.slowest), test.want, "%s left, %s", test.left, test.slowest)
	}
}
