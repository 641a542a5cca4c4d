package watch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

func maxPause() time.Duration { return 100 * time.Millisecond }

// TestNext checks which poll follows each kind of response, for a watch that has revision 7 and has failed twice.
func TestNext(t *testing.T) {
	options := &Options{SettleDelay: 300 * time.Millisecond, MinPause: 10 * time.Millisecond, MaxPause: maxPause}
	last := poll{revision: 7, failures: 2, maxWait: time.Second}
	for _, test := range []struct {
		name     string
		answered ryeford.Revision
		err      error
		changed  bool
		outcome  outcome
		next     poll
		wait     time.Duration
		maxPause time.Duration
	}{
		{"a change", 9, nil, true, current, poll{revision: 9}, time.Second, 300 * time.Millisecond},
		{"no change", 7, nil, false, current, poll{revision: 7}, time.Second, 0},
		{"stale", 6, nil, false, stale, poll{revision: 7, failures: 3}, 0, 40 * time.Millisecond},
		{"history lost", 0, fmt.Errorf("wrapped: %w", &ryeford.HistoryLostError{}), false, historyLost, poll{full: true, historyLost: true, failures: 2}, 0, 0},
		{"failed", 0, errors.New("out"), false, failed, poll{revision: 7, failures: 3}, 0, 40 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			result, revision := classify(last.revision, test.answered, test.err)
			assert.Equal(t, result, test.outcome)
			next := last.advance(result, revision)
			assert.Equal(t, next, test.next)
			next.maxWait = last.maxWait
			assert.Equal(t, next.wait(), test.wait)
			pause := next.pause(result, test.changed, options)
			assert.Assert(t, pause <= test.maxPause && pause >= test.maxPause/2, "%s", pause)
		})
	}
}

// TestBackoff checks that the pause doubles up to its maximum, whatever the number of failures.
func TestBackoff(t *testing.T) {
	options := &Options{MinPause: 10 * time.Millisecond, MaxPause: maxPause}
	for failures, want := range map[int]time.Duration{
		1: 10 * time.Millisecond, 2: 20 * time.Millisecond, 4: 80 * time.Millisecond,
		5: 100 * time.Millisecond, 16: 100 * time.Millisecond, 17: 100 * time.Millisecond, 1000: 100 * time.Millisecond,
	} {
		assert.Equal(t, backoff(failures, options), want, "%d failures", failures)
	}
}
