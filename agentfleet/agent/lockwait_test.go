package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// lockWait is how long a call waits for the lock of the attempts.
const lockWait = 200 * time.Millisecond

// lockAttempts locks the attempts for lockWait.
func lockAttempts(a *attempts) {
	a.mu.Lock()
	time.AfterFunc(lockWait, a.mu.Unlock)
}

// TestLockWait checks that dispatches and joins that expire while they wait for the lock
// of the attempts are refused as expired. Otherwise an attempt could run after it was
// reported as not run, or be reported as not run although it ran.
func TestLockWait(t *testing.T) {
	t.Run("dispatch", func(t *testing.T) {
		pool := ryeford.Pool{Model: "lira"}
		b := newBackend("endpoint-1.1", admission.Limits{PoolFactor: 1.25, Floor: 4, Capacity: 64, ShareFrom: 0.8}, 10)
		b.engine = &fakeStreamer{streams: []fakeStream{{chunks: 1, finishes: true}}}
		b.setServing(true, []ryeford.Pool{pool})
		a := testAgent(b)
		expires := time.Now().Add(lockWait / 2)
		lockAttempts(a.attempts)
		r, refused := a.admit(&wire.Dispatch{
			Attempt: "a1", Account: "bank", Chat: "c1", Engine: b.id, Incarnation: a.incarnation,
			Share: 1, Completion: &ryeford.Completion{Attempt: "a1", Pool: pool}, Expires: expires, RetainUntil: expires,
		})
		assert.Assert(t, r == nil)
		assert.Equal(t, refused.Reason, ryeford.ReasonExpired)
	})
	t.Run("join", func(t *testing.T) {
		a := newAttempts(time.Minute, time.Second)
		removeAfter := time.Now().Add(lockWait / 2)
		lockAttempts(a)
		_, reason, mayHaveRun := a.join(&wire.Join{Attempt: "a1", Expires: removeAfter, RetainUntil: removeAfter})
		assert.Equal(t, reason, ryeford.ReasonExpired)
		assert.Assert(t, mayHaveRun)
	})
}
