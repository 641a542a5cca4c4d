package placement

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
)

// drawInput generates templates, engines and the limits of a weight store.
func drawInput(t *rapid.T) *Input {
	in := &Input{
		Now:           time.Unix(1_000_000, 0),
		LoadTime:      time.Duration(rapid.IntRange(1, 30).Draw(t, "load")) * time.Second,
		ParallelLoads: rapid.IntRange(1, 5).Draw(t, "parallel"),
		WarmUpLead:    time.Duration(rapid.IntRange(0, 20).Draw(t, "ahead")) * time.Second,
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		in.Templates = append(in.Templates, ryeford.Template{
			Account: ryeford.AccountID(fmt.Sprint(i)), Name: "t", Model: fmt.Sprintf("m%d", i),
			Share: float64(rapid.IntRange(1, 10).Draw(t, "share")) / 10,
			Begin: in.Now.Add(time.Duration(rapid.IntRange(-10, 600).Draw(t, "begin")) * time.Second),
		})
	}
	for i := range rapid.IntRange(1, 30).Draw(t, "engines") {
		e := Engine{ID: ryeford.EngineID(fmt.Sprintf("e%02d", i)), Domain: fmt.Sprint(i % 3)}
		if serving := rapid.IntRange(-1, 3).Draw(t, "serving"); serving >= 0 {
			e.Pools = []ryeford.Pool{{Model: fmt.Sprintf("m%d", serving)}}
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}

// TestPlan checks the invariants of every plan: no engine is assigned twice, the weight
// store's rate is kept, engines that keep their pools load nothing, no load is late
// unless the rate requires it, and the same input gives the same plan.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		out := Plan(in)
		seen := make(map[ryeford.EngineID]bool)
		var starts []time.Time
		for _, a := range out.Assignments {
			assert.Assert(t, !seen[a.Engine], "%s assigned twice", a.Engine)
			seen[a.Engine] = true
			if a.Reason == "keep" {
				continue
			}
			assert.Assert(t, !a.Start.Before(in.Now), "a load starts in the past")
			starts = append(starts, a.Start)
		}
		checkRate(t, in, starts)
		assert.DeepEqual(t, out, Plan(in))
		if !fits(in, len(starts)) {
			return
		}
		assert.Equal(t, out.Late, 0, "loads are late although they fit before the events")
	})
}

// checkRate checks that the number of concurrent loads stays within the limit.
func checkRate(t *rapid.T, in *Input, starts []time.Time) {
	for _, at := range starts {
		loading := 0
		for _, other := range starts {
			if !other.After(at) && at.Before(other.Add(in.LoadTime)) {
				loading++
			}
		}
		assert.Assert(t, loading <= in.ParallelLoads, "%d concurrent loads", loading)
	}
}

// fits reports whether that many loads can end before the first event.
func fits(in *Input, moves int) bool {
	rounds := (moves + in.ParallelLoads - 1) / in.ParallelLoads
	end := in.Now.Add(time.Duration(rounds) * in.LoadTime)
	return !slices.ContainsFunc(in.Templates, func(t ryeford.Template) bool {
		return t.Begin.After(in.Now) && t.Begin.Before(end)
	})
}

// TestPlanIsStable checks that a plan that has been carried out causes no further
// moves.
func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for i := range in.Templates {
			in.Templates[i].Begin = time.Time{}
		}
		first := Plan(in)
		for i := range in.Engines {
			for _, a := range first.Assignments {
				if a.Engine == in.Engines[i].ID {
					in.Engines[i].Pools = a.Pools
				}
			}
		}
		assert.Equal(t, Plan(in).Moves, 0)
	})
}

// BenchmarkWarm reports the part of an event model's engines that are warm in the first
// 10 s of the event: with loads planned ahead, and with loads that start at its begin.
func BenchmarkWarm(b *testing.B) {
	for _, size := range []struct{ engines, parallel int }{{40, 4}, {3500, 40}} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			begin := time.Unix(1_000_000, 0)
			in := &Input{
				LoadTime: 20 * time.Second, ParallelLoads: size.parallel, WarmUpLead: 30 * time.Second,
				Templates: []ryeford.Template{
					{Account: "bank", Name: "calls", Model: "lira", Share: 0.5},
					{Account: "church", Name: "debate", Model: "psalm", Share: 0.5, Begin: begin},
				},
			}
			for i := range size.engines {
				in.Engines = append(in.Engines, Engine{
					ID: ryeford.EngineID(fmt.Sprintf("e%04d", i)), Domain: fmt.Sprint(i % 7), Pools: []ryeford.Pool{{Model: "lira"}},
				})
			}
			in.Now = begin.Add(-time.Hour)
			for b.Loop() {
				Plan(in)
			}
			in.Now = begin.Add(-in.horizon())
			out := Plan(in)
			content, err := json.Marshal(out.Assignments)
			assert.NilError(b, err)
			b.ReportMetric(float64(len(content))/float64(len(out.Assignments)), "B/assignment")
			b.ReportMetric(warm(out, in, begin), "warm-planned")
			in.Now = begin
			b.ReportMetric(warm(Plan(in), in, begin), "warm-on-demand")
		})
	}
}

// warm returns the mean part of a plan's moves that are complete in the first 10 s.
func warm(out *Output, in *Input, begin time.Time) float64 {
	const seconds = 10
	done := 0
	for _, a := range out.Assignments {
		for s := range seconds {
			if a.Reason == "move" && !a.Start.Add(in.LoadTime).After(begin.Add(time.Duration(s)*time.Second)) {
				done++
			}
		}
	}
	return float64(done) / float64(seconds*max(1, out.Moves))
}
