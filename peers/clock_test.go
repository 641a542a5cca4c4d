package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConfirmedAt checks that the age of what a peer tells counts from our own
// message that it had, however late its message is read, and that nothing else
// renews anything.
func TestConfirmedAt(t *testing.T) {
	log := NewSendLog(7)
	log.Note(start, 3)
	told := &Message{Confirmed: true, Age: 200 * time.Millisecond}
	at, ok := log.ConfirmedAt(told, &Echo{Started: 7, Sequence: 3})
	assert.Assert(t, ok)
	assert.Equal(t, at, start.Add(-200*time.Millisecond))
	for name, test := range map[string]struct {
		message Message
		echo    Echo
	}{
		"an earlier life":     {*told, Echo{Started: 6, Sequence: 3}},
		"never sent":          {*told, Echo{Started: 7, Sequence: 4}},
		"the nothing before":  {*told, Echo{Started: 7, Sequence: 0}},
		"not confirmed":       {Message{Age: 1}, Echo{Started: 7, Sequence: 3}},
		"from the future":     {Message{Confirmed: true, Age: -1}, Echo{Started: 7, Sequence: 3}},
		"long past: replaced": {*told, Echo{Started: 7, Sequence: 3 + sentKept}},
	} {
		_, ok := log.ConfirmedAt(&test.message, &test.echo)
		assert.Assert(t, !ok, name)
	}
	log.Note(start, 3+sentKept)
	_, ok = log.ConfirmedAt(told, &Echo{Started: 7, Sequence: 3})
	assert.Assert(t, !ok, "forgotten")
}
