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
		{"up to the moment at which it expires", attemptUnseen, 0, ""},
		{"not after it", attemptUnseen, -1, ryeford.ReasonExpired},
		{"an attempt that runs is not admitted again", attemptRetained, time.Second, ryeford.ReasonDuplicate},
		{"nor one whose answer is gone", attemptRan, time.Second, ryeford.ReasonDuplicate},
		{"nor one that was given up", attemptTombstone, time.Second, ryeford.ReasonTombstone},
		{"what is remembered goes before the expiry", attemptRan, -1, ryeford.ReasonDuplicate},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, admissionRefusal(test.state, now, now.Add(test.remaining)), test.want)
		})
	}
}

func TestJoinRefusal(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		rule    string
		state   attemptState
		expires time.Duration // from now
		forget  time.Duration // from now
		peek    bool
		want    ryeford.Reason
		unknown bool
	}{
		{"an attempt that was admitted is joined", attemptRetained, 1, 2, false, "", false},
		{"also long after", attemptRetained, -9, -8, false, "", false},
		{"without its answer, it ran", attemptRan, 1, 2, false, ryeford.ReasonDuplicate, true},
		{"an unseen attempt did not run", attemptUnseen, 1, 2, false, ryeford.ReasonTombstone, false},
		{"nor one that was given up", attemptTombstone, 1, 2, false, ryeford.ReasonTombstone, false},
		{
			"after its expiry an admission would still be remembered",
			attemptUnseen, -1, 0, false, ryeford.ReasonTombstone, false,
		},
		{"but not for ever", attemptUnseen, -2, -1, false, ryeford.ReasonExpired, true},
		{"the later of both times counts", attemptUnseen, 0, -1, false, ryeford.ReasonTombstone, false},
		{"a peek proves nothing before the expiry", attemptUnseen, 0, 2, true, ryeford.ReasonRunning, true},
		{"after it, it does", attemptUnseen, -1, 2, true, ryeford.ReasonTombstone, false},
	} {
		t.Run(test.rule, func(t *testing.T) {
			got, unknown := joinRefusal(test.state, now, now.Add(test.expires), now.Add(test.forget), test.peek)
			assert.Equal(t, got, test.want)
			assert.Equal(t, unknown, test.unknown)
		})
	}
}

// TestSettleAccount checks that a run is joined by its own account only; another one learns
// that it may have run, and no more.
func TestJoinAccount(t *testing.T) {
	a := newAttempts(time.Minute, time.Second)
	now := time.Unix(1_000_000, 0)
	expires, forget := now.Add(time.Second), now.Add(time.Minute)
	d := &wire.Dispatch{Attempt: "a1", Account: "bank", Expires: expires, Forget: forget}
	admitted := newRun(d, nil, false)
	defer admitted.cancel()
	a.admitAt(now, d, func(time.Time) *run { return admitted })

	join := &wire.Join{Attempt: "a1", Account: "bank", Expires: expires, Forget: forget}
	r, reason, unknown := a.joinAt(now, join)
	assert.Equal(t, r, admitted)
	assert.Equal(t, reason, ryeford.Reason(""))
	assert.Assert(t, !unknown)

	join.Account = "church"
	r, reason, unknown = a.joinAt(now, join)
	assert.Assert(t, r == nil)
	assert.Equal(t, reason, ryeford.ReasonDuplicate)
	assert.Assert(t, unknown)
}
