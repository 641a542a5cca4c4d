package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestNext checks what follows each end of an attempt.
func TestNext(t *testing.T) {
	once := Policy{MaxAttempts: 3}
	idempotent := Policy{Idempotent: true, MaxAttempts: 3}
	another := Decision{Retry: true}
	budgeted := Decision{Retry: true, Budgeted: true}
	tried := Decision{Retry: true, Budgeted: true, AllowTried: true}
	stop := Decision{}
	for _, row := range []struct {
		rule    string
		policy  Policy
		end     End
		history History
		done    bool
		want    Decision
	}{
		{"answered: done", idempotent, EndAnswered, History{Sent: 1}, false, stop},
		{"the caller has disconnected: no retry", idempotent, EndUnsent, History{Unsent: 1}, true, stop},
		{"the deadline has passed: no retry", idempotent, EndFailed, History{Sent: 1}, true, stop},
		{"unsent: another endpoint, not budgeted", once, EndUnsent, History{Unsent: 1}, false, another},
		{"unsent: another endpoint even after MaxAttempts", once, EndUnsent, History{Sent: 3, Unsent: 1}, false, another},
		{"unsent: another endpoint below the limit", once, EndUnsent, History{Unsent: maxUnsent - 1}, false, another},
		{"unsent: not beyond the limit", once, EndUnsent, History{Unsent: maxUnsent}, false, stop},
		{"forbidden: it may not run anywhere", idempotent, EndForbidden, History{}, false, stop},
		{"refused: another endpoint, though not idempotent", once, EndRefused, History{Sent: 2}, false, budgeted},
		{"refused: at most MaxAttempts", once, EndRefused, History{Sent: 3}, false, stop},
		{"lost, may have run: not repeated", once, EndLost, History{Sent: 1}, false, stop},
		{"lost, idempotent: another endpoint", idempotent, EndLost, History{Sent: 1}, false, budgeted},
		{"lost: at most MaxAttempts", idempotent, EndLost, History{Sent: 3}, false, stop},
		{"failed, may have run: not repeated", once, EndFailed, History{Sent: 1}, false, stop},
		{"failed, idempotent: another endpoint, or one already tried", idempotent, EndFailed, History{Sent: 2}, false, tried},
		{"failed: at most MaxAttempts", idempotent, EndFailed, History{Sent: 3}, false, stop},
		{"the caller stopped reading", idempotent, EndStopped, History{Sent: 1}, false, stop},
	} {
		t.Run(row.rule, func(t *testing.T) {
			assert.Equal(t, row.policy.Next(row.end, row.history, row.done), row.want)
		})
	}
}

// TestMayTry guards against trying an unusable endpoint after another one could not be reached.
func TestMayTry(t *testing.T) {
	for _, row := range []struct {
		rule     string
		history  History
		unusable bool
		want     bool
	}{
		{"usable", History{}, false, true},
		{"usable, after others could not be reached", History{Unsent: 2}, false, true},
		{"unusable, but the only one left: tried once", History{}, true, true},
		{"unusable, after one that refused the request", History{Sent: 1}, true, true},
		{"unusable, after one that could not be reached", History{Unsent: 1}, true, false},
	} {
		assert.Equal(t, row.history.MayTry(row.unusable), row.want, row.rule)
	}
}

// TestEnds checks whether a request may have run after each end, and its code in logs and metrics.
func TestEnds(t *testing.T) {
	for _, row := range []struct {
		end        End
		mayHaveRun bool
		code       string
	}{
		{EndAnswered, true, "done"},
		{EndUnsent, false, "unsent"},
		{EndForbidden, false, "unsent"},
		{EndRefused, false, "not_run"},
		{EndLost, true, "failed"},
		{EndFailed, true, "failed"},
		{EndStopped, true, "stopped"},
	} {
		assert.Equal(t, row.end.MayHaveRun(), row.mayHaveRun, row.code)
		assert.Equal(t, row.end.String(), row.code)
	}
}

// TestPerTryTimeout checks when a slow attempt is replaced by another one.
func TestPerTryTimeout(t *testing.T) {
	const goal = 100 * time.Millisecond
	for _, row := range []struct {
		rule   string
		policy Policy
		sent   int
		want   time.Duration
	}{
		{"idempotent: one and a half times the goal", Policy{Idempotent: true, MaxAttempts: 2, Goal: goal}, 0, 150 * time.Millisecond},
		{"the last attempt waits until the deadline", Policy{Idempotent: true, MaxAttempts: 2, Goal: goal}, 1, 0},
		{"the only attempt waits until the deadline", Policy{Idempotent: true, MaxAttempts: 1, Goal: goal}, 0, 0},
		{"not idempotent: it may be running", Policy{MaxAttempts: 3, Goal: goal}, 0, 0},
		{"no goal: no timeout", Policy{Idempotent: true, MaxAttempts: 3}, 0, 0},
	} {
		t.Run(row.rule, func(t *testing.T) {
			got, ok := row.policy.PerTryTimeout(row.sent)
			assert.Equal(t, got, row.want)
			assert.Equal(t, ok, row.want > 0)
		})
	}
}

// TestForRoute checks which routes are idempotent.
func TestForRoute(t *testing.T) {
	rule := &ryeford.RouteRule{Kind: ryeford.RouteStream, MaxAttempts: 2, Goal: time.Second}
	assert.Equal(t, ForRoute(rule), Policy{MaxAttempts: 2, Goal: time.Second})
	rule.Resumable = true
	assert.Equal(t, ForRoute(rule), Policy{Idempotent: true, MaxAttempts: 2, Goal: time.Second})
}
