package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestQueue checks in which order waiters are woken, and that a full queue takes
// none.
func TestQueue(t *testing.T) {
	var q queue
	early, late := q.enter(5), q.enter(5)
	urgent, gone := q.enter(ryeford.PriorityHighest), q.enter(ryeford.PriorityHighest)
	q.leave(gone)
	for _, want := range []*waiter{urgent, early, late} {
		assert.Equal(t, q.waiters[0], want)
		q.wake()
		select {
		case <-want.ready:
		default:
			t.Error("not woken in its turn")
		}
	}
	q.wake() // nobody waits
	for range maxQueued {
		assert.Assert(t, q.enter(ryeford.PriorityLowest) != nil)
	}
	assert.Assert(t, q.enter(ryeford.PriorityHighest) == nil)
}
