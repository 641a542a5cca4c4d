package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

func TestMayAdmit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		rule  string
		state attemptState
		left  time.Duration // until the dispatch expires
		want  ryeford.Reason
	}{
		{"a new attempt is admitted", attemptUnseen, time.Second, ""},
		{"up to the moment at which it expires", attemptUnseen, 0, ""},
		{"not after it", attemptUnseen, -1, ryeford.ReasonExpired},
		{"an attempt that runs is not admitted again", attemptKept, time.Second, ryeford.ReasonDuplicate},
		{"nor one whose answer is gone", attemptRan, time.Second, ryeford.ReasonDuplicate},
		{"nor one that was given up", attemptTombstone, time.Second, ryeford.ReasonTombstone},
		{"what is remembered goes before the expiry", attemptRan, -1, ryeford.ReasonDuplicate},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, mayAdmit(test.state, now, now.Add(test.left)), test.want)
		})
	}
}

func TestJudge(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		rule    string
		state   attemptState
		expires time.Duration // from now
		forget  time.Duration // from now
		peek    bool
		want    verdict
	}{
		{"an attempt that was admitted is joined", attemptKept, 1, 2, false, verdictRuns},
		{"also long after", attemptKept, -9, -8, false, verdictRuns},
		{"without its answer, it ran", attemptRan, 1, 2, false, verdictRan},
		{"an unseen attempt did not run", attemptUnseen, 1, 2, false, verdictNotRun},
		{"nor one that was given up", attemptTombstone, 1, 2, false, verdictNotRun},
		{"after its expiry an admission would still be remembered", attemptUnseen, -1, 0, false, verdictNotRun},
		{"but not for ever", attemptUnseen, -2, -1, false, verdictUnknown},
		{"the later of both times counts", attemptUnseen, 0, -1, false, verdictNotRun},
		{"a peek proves nothing before the expiry", attemptUnseen, 0, 2, true, verdictNotYet},
		{"after it, it does", attemptUnseen, -1, 2, true, verdictNotRun},
	} {
		t.Run(test.rule, func(t *testing.T) {
			got := judge(test.state, now, now.Add(test.expires), now.Add(test.forget), test.peek)
			assert.Equal(t, got, test.want)
		})
	}
}

func TestVerdictRefusal(t *testing.T) {
	for _, test := range []struct {
		rule    string
		verdict verdict
		want    ryeford.Reason
		unknown bool
	}{
		{"only a tombstone proves that it did not run", verdictNotRun, ryeford.ReasonTombstone, false},
		{"it may run yet", verdictNotYet, ryeford.ReasonRunning, true},
		{"nothing is remembered", verdictUnknown, ryeford.ReasonExpired, true},
		{"it ran", verdictRan, ryeford.ReasonDuplicate, true},
		{"it runs, for another account", verdictRuns, ryeford.ReasonDuplicate, true},
	} {
		t.Run(test.rule, func(t *testing.T) {
			reason, unknown := test.verdict.refusal()
			assert.Equal(t, reason, test.want)
			assert.Equal(t, unknown, test.unknown)
		})
	}
}
