package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestQueue checks the order in which waiters are woken, and that a full queue accepts
// none.
func TestQueue(t *testing.T) {
	var q queue
	first, second := q.enter(5), q.enter(5)
	highest, removed := q.enter(ryeford.PriorityHighest), q.enter(ryeford.PriorityHighest)
	q.leave(removed)
	for _, want := range []*waiter{highest, first, second} {
		assert.Equal(t, q.waiters[0], want)
		q.wake()
		select {
		case <-want.ready:
		default:
			t.Error("the first waiter was not woken")
		}
	}
	q.wake() // the queue is empty
	for range maxQueued {
		assert.Assert(t, q.enter(ryeford.PriorityLowest) != nil)
	}
	assert.Assert(t, q.enter(ryeford.PriorityHighest) == nil)
}

// TestAdmitOrWait checks whether a dispatch to an engine at its bound waits for a run to
// end.
func TestAdmitOrWait(t *testing.T) {
	const runTime = 30 * time.Millisecond
	for _, test := range []struct {
		rule    string
		wait    time.Duration // allowed by the router
		warm    bool
		full    bool           // the queue is full
		want    ryeford.Reason // empty: admitted
		elapsed time.Duration
	}{
		{"a chat whose prefix the engine holds waits for a run to end", 100 * time.Millisecond, true, false, "", runTime},
		{"the wait ends after the allowed time", 20 * time.Millisecond, true, false, ryeford.ReasonOverload, 20 * time.Millisecond},
		{"a dispatch without an allowed wait is refused immediately", 0, true, false, ryeford.ReasonOverload, 0},
		{"a chat whose prefix the engine does not hold is refused immediately", 100 * time.Millisecond, false, false, ryeford.ReasonOverload, 0},
		{"a dispatch is refused immediately if the queue is full", 100 * time.Millisecond, true, true, ryeford.ReasonOverload, 0},
	} {
		t.Run(test.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := ryeford.Pool{Model: "lira"}
				b := newBackend("endpoint-1.1", admission.Limits{Floor: 1, Capacity: 1, ShareFrom: 1}, 10)
				b.engine = &fakeStreamer{streams: []fakeStream{{chunks: 1, finishes: true}}}
				b.setServing(true, []ryeford.Pool{pool})
				a := testAgent(b)
				d := &wire.Dispatch{
					Attempt: "a1", Account: "bank", Chat: "c1", Engine: b.id, Incarnation: a.incarnation,
					Share: 1, Wait: test.wait, Completion: &ryeford.Completion{Attempt: "a1", Pool: pool},
					Expires: time.Now().Add(time.Minute), RetainUntil: time.Now().Add(time.Hour),
				}
				running := *d
				running.Attempt, running.Chat = "a0", "c0"
				_, _ = b.admit(time.Now(), &running, 0)
				time.AfterFunc(runTime, func() { b.release(time.Now(), d.Account) })
				if test.warm {
					b.chats.add(d.ChatKey(), pool)
				}
				for test.full && b.queue.enter(ryeford.PriorityLowest) != nil {
				}
				start := time.Now()
				r, refused := a.admitOrWait(t.Context(), d)
				assert.Equal(t, time.Since(start), test.elapsed)
				assert.Equal(t, r != nil, test.want == "")
				if r == nil {
					assert.Equal(t, refused.Reason, test.want)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
