package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

func TestAdmissionRefusal(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		rule      string
		state     attemptState
		remaining time.Duration // until the dispatch expires
		want      ryeford.Reason
	}{
		{"a new attempt is admitted", attemptUnseen, time.Second, ""},
		{"an attempt is admitted at the time it expires", attemptUnseen, 0, ""},
		{"an expired attempt is refused", attemptUnseen, -1, ryeford.ReasonExpired},
		{"a running attempt is not admitted again", attemptRetained, time.Second, ryeford.ReasonDuplicate},
		{"an attempt without a retained answer is not admitted again", attemptRan, time.Second, ryeford.ReasonDuplicate},
		{"an abandoned attempt is refused", attemptTombstone, time.Second, ryeford.ReasonTombstone},
		{"a record takes precedence over the expiry", attemptRan, -1, ryeford.ReasonDuplicate},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, admissionRefusal(test.state, now, now.Add(test.remaining)), test.want)
		})
	}
}

func TestJoinRefusal(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		rule        string
		state       attemptState
		expires     time.Duration // from now
		removeAfter time.Duration // from now
		peek        bool
		want        ryeford.Reason
		mayHaveRun  bool
	}{
		{"an admitted attempt is joined", attemptRetained, 1, 2, false, "", false},
		{"a retained answer is joined after the expiry", attemptRetained, -9, -8, false, "", false},
		{"an attempt without a retained answer has run", attemptRan, 1, 2, false, ryeford.ReasonDuplicate, true},
		{"an unseen attempt did not run", attemptUnseen, 1, 2, false, ryeford.ReasonTombstone, false},
		{"an abandoned attempt did not run", attemptTombstone, 1, 2, false, ryeford.ReasonTombstone, false},
		{
			"an unseen attempt did not run while a record would be retained",
			attemptUnseen, -1, 0, false, ryeford.ReasonTombstone, false,
		},
		{"an unseen attempt may have run after records are removed", attemptUnseen, -2, -1, false, ryeford.ReasonExpired, true},
		{"records are removed after the later of both times", attemptUnseen, 0, -1, false, ryeford.ReasonTombstone, false},
		{"a peek proves nothing before the expiry", attemptUnseen, 0, 2, true, ryeford.ReasonRunning, true},
		{"a peek after the expiry proves that the attempt did not run", attemptUnseen, -1, 2, true, ryeford.ReasonTombstone, false},
	} {
		t.Run(test.rule, func(t *testing.T) {
			got, mayHaveRun := joinRefusal(test.state, now, now.Add(test.expires), now.Add(test.removeAfter), test.peek)
			assert.Equal(t, got, test.want)
			assert.Equal(t, mayHaveRun, test.mayHaveRun)
		})
	}
}

// TestJoinAccount checks that only the run's account may join it. A join of another
// account is refused and only reports that the attempt may have run.
func TestJoinAccount(t *testing.T) {
	a := newAttempts(time.Minute, time.Second)
	now := time.Unix(1_000_000, 0)
	expires, removeAfter := now.Add(time.Second), now.Add(time.Minute)
	d := &wire.Dispatch{Attempt: "a1", Account: "bank", Expires: expires, RetainUntil: removeAfter}
	admitted := newRun(d, nil, false)
	defer admitted.cancel()
	a.admitAt(now, d, func(time.Time) *run { return admitted })

	join := &wire.Join{Attempt: "a1", Account: "bank", Expires: expires, RetainUntil: removeAfter}
	r, reason, mayHaveRun := a.joinAt(now, join)
	assert.Equal(t, r, admitted)
	assert.Equal(t, reason, ryeford.Reason(""))
	assert.Assert(t, !mayHaveRun)

	join.Account = "church"
	r, reason, mayHaveRun = a.joinAt(now, join)
	assert.Assert(t, r == nil)
	assert.Equal(t, reason, ryeford.ReasonDuplicate)
	assert.Assert(t, mayHaveRun)
}
