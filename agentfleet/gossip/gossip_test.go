package gossip

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/template"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// TestLoop checks when messages are sent, and to how many peers.
func TestLoop(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(cache *template.Cache, plans chan struct{}) // 50 ms after the start
		want   []int                                            // peers per message, within 250 ms at an interval of 100 ms
	}{
		{"no change", func(*template.Cache, chan struct{}) {}, []int{1, 1}},
		{"a new revision", func(cache *template.Cache, _ chan struct{}) { cache.Apply(0, 1, nil) }, []int{fanout, 1, 1}},
		{"a new plan", func(_ *template.Cache, plans chan struct{}) { plans <- struct{}{} }, []int{fanout, 1, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
				defer cancel()
				plans := make(chan struct{})
				var sent []int
				loop := &Loop{
					Interval:    100 * time.Millisecond,
					Templates:   template.NewCache(),
					Decisions:   decision.NewLog(log.NewNopLogger()),
					PlanChanged: func() <-chan struct{} { return plans },
					Send:        func(peers int) { sent = append(sent, peers) },
				}
				go func() {
					time.Sleep(50 * time.Millisecond)
					test.change(loop.Templates, plans)
				}()
				assert.NilError(t, loop.Run(ctx))
				assert.DeepEqual(t, sent, test.want)
			})
		})
	}
}

// TestSample checks that a sample has no duplicates, and that it includes all peers if
// there are fewer than requested.
func TestSample(t *testing.T) {
	for _, test := range []struct{ peers, n, want int }{
		{0, 1, 0},
		{3, 1, 1},
		{3, 8, 3},
	} {
		peers := make([]int, test.peers)
		for i := range peers {
			peers[i] = i
		}
		sample := Sample(peers, test.n)
		assert.Equal(t, len(sample), test.want)
		slices.Sort(sample)
		assert.Equal(t, len(slices.Compact(sample)), test.want)
	}
}

// TestCountFitting checks how many templates fit into one message.
func TestCountFitting(t *testing.T) {
	templates := []ryeford.Template{{Name: "t1"}, {Name: "t2"}, {Name: "t3"}}
	data, err := wire.Marshal(&templates[0])
	assert.NilError(t, err)
	for _, test := range []struct {
		rule  string
		bytes int
		want  int
	}{
		{"all templates fit", 3 * len(data), 3},
		{"the last template does not fit", 3*len(data) - 1, 2},
		{"a template that is too large is sent alone", len(data) - 1, 1},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, countFitting(templates, test.bytes), test.want)
		})
	}
	assert.Equal(t, countFitting(nil, 0), 0)
}
