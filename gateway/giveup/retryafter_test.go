package giveup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// allPriorities holds all priorities, the highest first.
var allPriorities = []ryeford.Priority{9, 8, 7, 6, 5, 4, 3, 2, 1, 0}

// TestRetryInterval guards against retry intervals that overlap between priorities, that begin after
// the time in which callers honor them, and against any interval for a caller without time left.
func TestRetryInterval(t *testing.T) {
	for _, recent := range []RecentCounts{{}, {Refused: 1}, {Answered: 1000}, {Refused: 1000}} {
		for _, earliest := range []time.Duration{0, 100 * time.Millisecond, time.Second, time.Hour} {
			for _, left := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 6 * time.Second, time.Minute, NoLimit} {
				previous := RetryInterval{}
				for i, priority := range allPriorities {
					interval := retryInterval(earliest, 0, Caller{Priority: priority, InUse: allPriorities, Left: left}, recent)
					assert.Assert(t, interval.From <= interval.To)
					assert.Assert(t, interval.From >= previous.To, "%v %v: intervals overlap", earliest, left)
					assert.Assert(t, interval.To <= left/3, "%v %v: later than callers honor", earliest, left)
					assert.Assert(t, interval.To <= maxRetryAfter)
					assert.Assert(t, i > 0 || interval.From == earliest || interval.From > left/10 || interval.From == maxRetryAfter/2, "%v %v: %v", earliest, left, interval)
					previous = interval
				}
			}
		}
	}
	for _, left := range []time.Duration{0, -time.Second} {
		assert.Equal(t, retryInterval(time.Second, 0, Caller{Left: left}, RecentCounts{Refused: 9}), RetryInterval{})
	}
}

// TestOverloadInterval guards against callers that retry sooner than after the time for which an
// overload has lasted, or later than they honor.
func TestOverloadInterval(t *testing.T) {
	caller := Caller{Left: 10 * time.Second}
	last := time.Duration(retryShare * float64(caller.Left))
	for _, overloaded := range []time.Duration{0, time.Second, 2 * time.Second, time.Minute} {
		for _, recent := range []RecentCounts{{}, {Refused: 1000}} {
			interval := retryInterval(100*time.Millisecond, overloaded, caller, recent)
			assert.Equal(t, interval.From, min(last, max(overloaded, 100*time.Millisecond)))
			assert.Assert(t, interval.From <= interval.To && interval.To <= last)
		}
	}
}

// TestRetrySpread checks that a single refusal delays its caller little, and that the retries after
// many refusals are spread over all the time in which callers honor a Retry-After.
func TestRetrySpread(t *testing.T) {
	caller := Caller{Left: 4 * time.Second}
	const first, last = 100 * time.Millisecond, 1200 * time.Millisecond
	single := retryInterval(first, 0, caller, RecentCounts{Answered: 100})
	assert.Equal(t, single.From, first)
	assert.Assert(t, single.To < first+20*time.Millisecond, "%v", single)
	many := retryInterval(first, 0, caller, RecentCounts{Refused: 10000})
	assert.Equal(t, many.From, first)
	assert.Assert(t, many.To > last-time.Millisecond && many.To <= last, "%v", many)
	half := retryInterval(first, 0, caller, RecentCounts{Refused: 10000, Answered: 10000})
	assert.Assert(t, half.To > 640*time.Millisecond && half.To < 660*time.Millisecond, "%v", half)
}

// TestRetryPriority checks that the interval is divided among the priorities in use, and
// that a priority that is not in use is ranked among them.
func TestRetryPriority(t *testing.T) {
	at := func(p ryeford.Priority) RetryInterval {
		return retryInterval(0, 0, Caller{Priority: p, InUse: []ryeford.Priority{9, 7}, Left: 10 * time.Second}, RecentCounts{Refused: 1 << 20})
	}
	second := func(b RetryInterval) RetryInterval {
		return RetryInterval{From: b.From.Round(10 * time.Millisecond), To: b.To.Round(10 * time.Millisecond)}
	}
	assert.Equal(t, second(at(9)), RetryInterval{From: 0, To: 1500 * time.Millisecond})
	assert.Equal(t, second(at(7)), RetryInterval{From: 1500 * time.Millisecond, To: 3 * time.Second})
	assert.Equal(t, at(8), at(7))
	assert.Equal(t, second(at(5)), RetryInterval{From: 2 * time.Second, To: 3 * time.Second}, "not in use: ranked below both")
}

// TestRetryAfterEjection checks that callers retry when the first of their ejected endpoints is
// available again, sooner if the refusal has another reason, and later if no endpoint is listed.
func TestRetryAfterEjection(t *testing.T) {
	caller := Caller{Priority: ryeford.PriorityHighest, Left: time.Minute}
	for reason, want := range map[ryeford.Reason]time.Duration{
		ryeford.ReasonNoCandidate: 700 * time.Millisecond,
		ryeford.ReasonUnreachable: 700 * time.Millisecond,
		ryeford.ReasonOverload:    100 * time.Millisecond,
	} {
		outcome := Decide(Request{Err: NotRun(reason), UnavailableFor: 700 * time.Millisecond, Caller: caller})
		assert.Equal(t, outcome.RetryAfter.From, want, string(reason))
	}
	outcome := Decide(Request{Err: NotRun(ryeford.ReasonOverload), UnavailableFor: 700 * time.Millisecond, BackingOffFor: 600 * time.Millisecond, Caller: caller})
	assert.Equal(t, outcome.RetryAfter.From, 600*time.Millisecond, "all back off: none serves sooner")
	outcome = Decide(Request{Err: NotRun(ryeford.ReasonNoCandidate), UnavailableFor: time.Millisecond, Caller: caller})
	assert.Equal(t, outcome.RetryAfter.From, retryNoEndpoint)
	outcome = Decide(Request{Err: NotRun(ryeford.ReasonNoCandidate), Unlisted: true, Caller: caller})
	assert.Equal(t, outcome.RetryAfter.From, retryUnlisted)
}
