package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestRefusalPrecedence adds one reason for a refusal after the other, with increasing
// precedence, and checks that a dispatch is refused for the one with the highest.
func TestRefusalPrecedence(t *testing.T) {
	now := time.Now()
	pool := ryeford.Pool{Model: "lira"}
	b := newBackend("endpoint-1.1", admission.Limits{PoolFactor: 1.25, Floor: 1, Capacity: 64, ShareFrom: 0.8}, 10)
	b.engine = &fakeEngine{}
	b.setServing(true, []ryeford.Pool{pool})
	a := testAgent(b)
	d := &wire.Dispatch{
		Attempt: "a1", Account: "bank", Chat: "c1", Engine: b.id, Incarnation: a.incarnation,
		Share: 1, MayRedirect: true, Completion: &ryeford.Completion{Pool: pool},
		Expires: now.Add(time.Minute), RetainUntil: now.Add(time.Hour),
	}
	running := *d
	running.Attempt, running.Chat = "a0", "c0"
	decision, _ := b.admit(now, &running, 0)
	assert.Assert(t, decision.Admitted)
	assert.Assert(t, !running.Completion.Admitted.Before(now))
	record := func(state attemptState) {
		a.attempts.records[d.Attempt] = attemptRecord{state: state, expires: now.Add(time.Hour)}
	}

	for _, test := range []struct {
		rule  string
		cause func()
		want  ryeford.Reason
	}{
		{"the engine's bound is reached", func() {}, ryeford.ReasonOverload},
		{"the engine has not loaded the model", func() { b.setServing(true, nil) }, ryeford.ReasonNotServing},
		{"the attempt has expired", func() { d.Expires = now.Add(-time.Minute) }, ryeford.ReasonExpired},
		{"the attempt was abandoned", func() { record(attemptTombstone) }, ryeford.ReasonTombstone},
		{"the attempt was admitted before", func() { record(attemptRan) }, ryeford.ReasonDuplicate},
		{"another engine holds the prefix", func() { b.addOverflow(now, &wire.Overflow{Chat: d.ChatKey(), Engine: "endpoint-2.1"}) }, ryeford.ReasonRedirect},
		{"the engine is not on this VM", func() { d.Engine = "endpoint-9.1" }, ryeford.ReasonNotServing},
		{"the VM is leaving", func() { a.leaving.Store(true) }, ryeford.ReasonLeaving},
		{"the agent restarted", func() { d.Incarnation = "incarnation-1" }, ryeford.ReasonIncarnation},
	} {
		t.Run(test.rule, func(t *testing.T) {
			test.cause()
			r, refused := a.admit(d)
			assert.Assert(t, r == nil)
			assert.Equal(t, refused.Reason, test.want)
			assert.Equal(t, refused.Attempt, d.Attempt)
			assert.Equal(t, refused.Incarnation, a.incarnation)
			// MayHaveRun is set only for an attempt that ran or may have run.
			assert.Equal(t, refused.MayHaveRun, test.want == ryeford.ReasonDuplicate)
		})
	}
}
