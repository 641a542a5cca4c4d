package decision

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestLines checks that decisions about requests are kept as logged, with their time,
// and that others are only logged.
func TestLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLog(log.NewLogfmtLogger(&out))
		records := [][]any{
			{"decision", "admit", "request", ryeford.RequestID("r1"), "load", 2.5, "warm", true},
			{"decision", "admit", "request", ryeford.RequestID("r2")},
			{"decision", "fail", "request", ryeford.RequestID("r1"), "err", errors.New("it broke"), "cause", nil},
		}
		for _, pairs := range records {
			l.Record(pairs[3].(ryeford.RequestID), pairs...)
			time.Sleep(time.Second)
		}
		l.Record("", "decision", "leave", "reason", "signal")
		assert.DeepEqual(t, l.Lines("r1"), []string{
			`ts=2000-01-01T00:00:00Z decision=admit request=r1 load=2.5 warm=true`,
			`ts=2000-01-01T00:00:02Z decision=fail request=r1 err="it broke" cause=null`,
		})
		assert.Equal(t, len(l.Lines("r3")), 0)
		assert.Equal(t, strings.Count(out.String(), "\n"), 4)
		assert.Assert(t, strings.Contains(out.String(), "decision=leave reason=signal\n"))
	})
}

// TestLinesBound checks that the oldest line is dropped when the memory is full.
func TestLinesBound(t *testing.T) {
	l := NewLog(log.NewNopLogger())
	l.Record("first", "decision", "route")
	l.Record("second", "decision", "route")
	for range maxLines - 1 {
		l.Record("later", "decision", "route")
	}
	assert.Equal(t, len(l.Lines("first")), 0)
	assert.Equal(t, len(l.Lines("second")), 1)
	assert.Equal(t, len(l.Lines("later")), maxLines-1)
}
