package agent

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestAttemptsAtMostOnce makes dispatches, joins, dropped answers and sweeps in random
// order: no attempt may run twice, or run after it was reported as not run.
func TestAttemptsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAttempts(time.Minute, time.Second)
		now := time.Unix(1_000_000, 0)
		runs := make(map[ryeford.AttemptID]int)
		reportedNotRun := make(map[ryeford.AttemptID]bool)
		expires := make(map[ryeford.AttemptID]time.Time)
		removeAfter := make(map[ryeford.AttemptID]time.Time)
		drawAttempt := func(t *rapid.T) ryeford.AttemptID {
			id := ryeford.AttemptID(fmt.Sprintf("a%d", rapid.IntRange(0, 4).Draw(t, "attempt")))
			if _, ok := expires[id]; !ok {
				expires[id] = now.Add(2 * time.Second)
				removeAfter[id] = now.Add(time.Duration(rapid.IntRange(2, 30).Draw(t, "removeAfter")) * time.Second)
			}
			return id
		}
		t.Repeat(map[string]func(*rapid.T){
			"dispatch": func(t *rapid.T) {
				id := drawAttempt(t)
				d := &wire.Dispatch{Attempt: id, Expires: expires[id], RetainUntil: removeAfter[id]}
				admit := rapid.Bool().Draw(t, "admit")
				_, reason := a.admitAt(now, d, func(time.Time) *run {
					if !admit {
						return nil
					}
					runs[id]++
					return newRun(d, nil, false)
				})
				if reason == "" && admit {
					assert.Assert(t, !reportedNotRun[id], "attempt admitted after it was reported as not run")
				}
			},
			"join": func(t *rapid.T) {
				id := drawAttempt(t)
				j := &wire.Join{Attempt: id, Expires: expires[id], RetainUntil: removeAfter[id], Peek: rapid.Bool().Draw(t, "peek")}
				_, reason, _ := a.joinAt(now, j)
				if reason == ryeford.ReasonTombstone {
					assert.Equal(t, runs[id], 0, "attempt ran but is reported as not run")
					reportedNotRun[id] = true
				}
			},
			"drop answer": func(t *rapid.T) { a.dropAnswer(drawAttempt(t)) },
			"sweep":       func(*rapid.T) { a.sweep(now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for id, n := range runs {
					assert.Assert(t, n <= 1, "%s ran %d times", id, n)
				}
			},
		})
	})
}
