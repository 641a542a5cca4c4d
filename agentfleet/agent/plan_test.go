package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/decision"
)

// A fakeEngine accepts orders, and checks their fences if fences is set. Its other
// methods are not called.
type fakeEngine struct {
	ryeford.Engine
	fences  bool
	serving ryeford.Order
	orders  int
}

func (e *fakeEngine) Serving(context.Context) (ryeford.Order, error) { return e.serving, nil }

func (e *fakeEngine) Order(_ context.Context, order ryeford.Order) error {
	if e.fences && order.Epoch < e.serving.Epoch {
		return &ryeford.FenceError{}
	}
	e.orders++
	e.serving = order
	return nil
}

// TestOrderDue checks each clause of the rule.
func TestOrderDue(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	plan := &ryeford.Plan{Epoch: 7, Sequence: 3}
	want, other := []ryeford.Pool{{Model: "lira"}}, []ryeford.Pool{{Model: "old"}}
	current := issuedOrder{epoch: 7, sequence: 3, at: now.Add(-time.Second)}
	overdue := issuedOrder{epoch: 7, sequence: 3, at: now.Add(-orderTimeout)}
	for _, test := range []struct {
		rule    string
		epoch   int64 // highest that the engine has seen
		serving []ryeford.Pool
		last    issuedOrder
		due     bool
	}{
		{"an engine that serves another pool is ordered", 6, other, issuedOrder{}, true},
		{"an engine that serves no pool is ordered", 0, nil, issuedOrder{}, true},
		{"an engine that serves the assigned pools is not ordered", 6, want, issuedOrder{}, false},
		{"an engine with a newer epoch is not ordered", 8, other, issuedOrder{}, false},
		{"a loading engine is not ordered", 7, other, current, false},
		{"an engine that exceeds orderTimeout is ordered again", 7, other, overdue, true},
		{"an engine that accepted a stale order is ordered again immediately", 6, other, current, true},
		{"an order of an older plan does not delay the current one", 7, other, issuedOrder{epoch: 7, sequence: 2, at: now}, true},
	} {
		t.Run(test.rule, func(t *testing.T) {
			serving := &ryeford.Order{Epoch: test.epoch, Pools: test.serving}
			assert.Equal(t, orderDue(serving, plan, want, test.last, now), test.due)
		})
	}
}

// TestStaleOrderIsCorrected checks that the agent repeats the current order after a stale
// one has reached an engine that does not check fences.
func TestStaleOrderIsCorrected(t *testing.T) {
	for _, fences := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			e := &fakeEngine{fences: fences}
			a := &Agent{
				backends:  map[ryeford.EngineID]*backend{"e": {id: "e", engine: e}},
				decisions: decision.NewLog(log.NewNopLogger()),
			}
			want := []ryeford.Pool{{Model: "lira"}}
			plan := &ryeford.Plan{Epoch: 7, Sequence: 1}
			assignment := &ryeford.Assignment{Engine: "e", Pools: want, Start: time.Now().Add(time.Minute)}
			a.applyAssignment(t.Context(), plan, assignment)
			assert.Equal(t, e.orders, 0) // the assignment has not started
			time.Sleep(2 * time.Minute)
			a.applyAssignment(t.Context(), plan, assignment)
			a.applyAssignment(t.Context(), plan, assignment)
			assert.Equal(t, e.orders, 1)

			_ = e.Order(t.Context(), ryeford.Order{Epoch: 6, Pools: []ryeford.Pool{{Model: "old"}}})
			a.applyAssignment(t.Context(), plan, assignment)
			assert.DeepEqual(t, e.serving, ryeford.Order{Epoch: 7, Pools: want})

			// An agent with an older plan sends no order.
			orders := e.orders
			a.applyAssignment(t.Context(), &ryeford.Plan{Epoch: 6, Sequence: 9}, &ryeford.Assignment{Engine: "e"})
			assert.Equal(t, e.orders, orders)
		})
	}
}
