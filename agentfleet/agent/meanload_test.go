package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/admission"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestAdmissionMean checks each clause of the rule.
func TestAdmissionMean(t *testing.T) {
	for _, test := range []struct {
		rule     string
		estimate float64
		age      time.Duration
		local    float64
		want     float64
	}{
		{"the router's estimate", 8, 0, 9, 8},
		{"a lower local mean", 8, 0, 5, 5},
		{"an estimate of maxMeanAge is not reduced", 10, maxMeanAge, 12, 10},
		{"a stale estimate is reduced", 10, maxMeanAge + 1, 12, 9},
		{"the local mean is not reduced", 10, time.Hour, 5, 5},
		{"an estimate of zero", 0, 0, 5, 0},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, admissionMean(test.estimate, test.age, test.local), test.want)
		})
	}
}

// TestClockOffsets checks the age of dispatches from routers whose clocks differ from the
// agent's.
func TestClockOffsets(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	const latency = 2 * time.Millisecond
	var c clockOffsets
	for _, step := range []struct {
		rule     string
		router   ryeford.VMID
		received time.Duration // after the start
		skew     time.Duration // of the router's clock
		delay    time.Duration // latency and queueing
		age      time.Duration
	}{
		{"the first dispatch has no age", "router-1", 0, time.Hour, latency, 0},
		{"a dispatch with the same latency has no age", "router-1", time.Second, time.Hour, latency, 0},
		{"a delayed dispatch has the age of its delay", "router-1", 2 * time.Second, time.Hour, 300 * time.Millisecond, 298 * time.Millisecond},
		{"each router has its own offset", "router-2", 2 * time.Second, -time.Hour, latency, 0},
		{"a faster dispatch reduces the minimum latency", "router-1", 3 * time.Second, time.Hour, latency / 2, 0},
		{"a dispatch with the earlier latency then has an age", "router-1", 4 * time.Second, time.Hour, latency, latency / 2},
		{"a clock that is set back increases the age", "router-1", 5 * time.Second, time.Hour - time.Second, latency, time.Second + latency/2},
		{"the old offset applies in the next window", "router-1", 31 * time.Second, time.Hour - time.Second, latency, time.Second + latency/2},
		{"the old offset has expired in the window after", "router-1", 62 * time.Second, time.Hour - time.Second, latency, 0},
	} {
		t.Run(step.rule, func(t *testing.T) {
			now := start.Add(step.received)
			sent := now.Add(-step.delay).Add(step.skew)
			assert.Equal(t, now.Sub(c.sendTime(step.router, now, sent)), step.age)
		})
	}
	assert.Equal(t, c.sendTime("router-1", start, time.Time{}), start)
}

// TestMeanLoad checks that a router's mean from before the load fell does not let an engine
// exceed the bound that follows from the load of the VM's other engine.
func TestMeanLoad(t *testing.T) {
	const factor, floor = 1.25, 4
	pool := ryeford.Pool{Model: "lira"}
	for _, test := range []struct {
		rule        string
		load, other int // running requests
		otherPool   ryeford.Pool
		mean        float64 // the router's
		want        ryeford.Reason
	}{
		{"the router's mean, if the local mean is the same", 8, 8, pool, 8, ""},
		{"the router's mean, if the local mean is higher", 8, 8, pool, 6, ryeford.ReasonOverload},
		{"the local mean, if it is lower", 8, 2, pool, 8, ryeford.ReasonOverload},
		{"a load within the bound of the local mean", 5, 5, pool, 8, ""},
		{"the floor is allowed at any mean", 3, 0, pool, 8, ""},
		{"an engine with another model is not included", 8, 0, ryeford.Pool{Model: "psalm"}, 8, ""},
	} {
		t.Run(test.rule, func(t *testing.T) {
			limits := admission.Limits{PoolFactor: factor, Floor: floor, Capacity: 64, ShareFrom: 1}
			b, other := newBackend("endpoint-1.1", limits, 10), newBackend("endpoint-1.2", limits, 10)
			b.engine, other.engine = &fakeStreamer{streams: []fakeStream{{chunks: 1, finishes: true}}}, &fakeEngine{}
			b.setServing(true, []ryeford.Pool{pool})
			other.setServing(true, []ryeford.Pool{test.otherPool})
			run := func(b *backend, pool ryeford.Pool, count int) {
				for range count {
					d := &wire.Dispatch{Account: "bank", Priority: ryeford.PriorityHighest, Share: 1, Completion: &ryeford.Completion{Pool: pool}}
					assert.Assert(t, decisionOf(b.admit(time.Now(), d, 64)).Admitted)
				}
			}
			run(b, pool, test.load)
			run(other, test.otherPool, test.other)
			a := testAgent(b)
			a.backends[other.id] = other
			_, refused := a.admit(&wire.Dispatch{
				Attempt: "a1", Account: "bank", Chat: "c1", Engine: b.id, Incarnation: a.incarnation,
				Priority: ryeford.PriorityHighest, Share: 1, PoolMean: test.mean, Sent: time.Now(),
				Completion: &ryeford.Completion{Attempt: "a1", Pool: pool},
				Expires:    time.Now().Add(time.Minute), RetainUntil: time.Now().Add(time.Hour),
			})
			assert.Equal(t, refused == nil, test.want == "")
			if refused != nil {
				assert.Equal(t, refused.Reason, test.want)
			}
		})
	}
}

func decisionOf(d admission.Decision, _ bool) admission.Decision { return d }
