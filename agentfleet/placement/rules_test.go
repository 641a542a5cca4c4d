package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestApportion checks how many engines each demand gets.
func TestApportion(t *testing.T) {
	for _, test := range []struct {
		name    string
		engines int
		shares  []float64
		want    []int
	}{
		{"by share", 10, []float64{0.5, 0.3, 0.2}, []int{5, 3, 2}},
		{"remaining engines by largest remainder", 10, []float64{1, 1, 1}, []int{4, 3, 3}},
		{"at least one each", 4, []float64{100, 1, 1}, []int{2, 1, 1}},
		{"fewer engines than demands", 2, []float64{1, 1, 1}, []int{0, 1, 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var demands []*demand
			for _, share := range test.shares {
				demands = append(demands, &demand{share: share})
			}
			apportion(demands, test.engines)
			var got []int
			for _, d := range demands {
				got = append(got, d.engines)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestChooseEngines checks which engines a demand gets.
func TestChooseEngines(t *testing.T) {
	lira := []ryeford.Pool{{Model: "lira"}}
	for _, test := range []struct {
		name    string
		engines []Engine
		want    int
		chosen  []ryeford.EngineID
	}{
		{"engines that serve the base model stay", []Engine{{ID: "a"}, {ID: "b", Pools: lira}}, 1, []ryeford.EngineID{"b"}},
		{"another version is another base model", []Engine{{ID: "a"}, {ID: "b", Pools: []ryeford.Pool{{Model: "lira", Version: "2"}}}}, 1, []ryeford.EngineID{"a"}},
		{"spread over failure domains", []Engine{{ID: "a", Domain: "1", Pools: lira}, {ID: "b", Domain: "1"}, {ID: "c", Domain: "2"}}, 2, []ryeford.EngineID{"a", "c"}},
		{"the first of equal engines", []Engine{{ID: "a"}, {ID: "b"}}, 1, []ryeford.EngineID{"a"}},
		{"no more than the available engines", []Engine{{ID: "a"}}, 3, []ryeford.EngineID{"a"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &demand{base: baseModel{model: "lira"}, engines: test.want}
			chosen := chooseEngines(test.engines, []*demand{d})
			assert.Equal(t, len(chosen), len(test.chosen))
			for _, id := range test.chosen {
				assert.Assert(t, chosen[id] == d, "%s is not chosen", id)
			}
		})
	}
}

// TestPoolSize checks how many of a demand's engines serve a pool.
func TestPoolSize(t *testing.T) {
	for _, test := range []struct {
		name         string
		engines      int
		share, total float64
		want         int
	}{
		{"twice its share", 10, 0.3, 1, 6},
		{"its share is rounded up", 10, 0.25, 1, 6},
		{"at most all engines", 10, 0.8, 1, 10},
		{"at least two", 10, 0.01, 1, 2},
		{"one engine", 1, 0.1, 1, 1},
		{"no engine", 0, 0.1, 1, 0},
	} {
		assert.Equal(t, poolSize(test.engines, test.share, test.total), test.want, test.name)
	}
}

// TestStarts checks when loads start, with one 10 s load at a time and engines that
// must be warm 5 s before their event.
func TestStarts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name   string
		begins []time.Duration // after now; zero means due now
		want   []time.Duration // starts, after now
		late   int
	}{
		{"due now", []time.Duration{0}, []time.Duration{0}, 0},
		{"two due now, in reverse order", []time.Duration{0, 0}, []time.Duration{10 * time.Second, 0}, 0},
		{"as late as the event allows", []time.Duration{time.Minute}, []time.Duration{45 * time.Second}, 0},
		{"two for one event", []time.Duration{time.Minute, time.Minute}, []time.Duration{45 * time.Second, 35 * time.Second}, 0},
		{"in time for the event, but not ahead of it", []time.Duration{12 * time.Second}, []time.Duration{0}, 0},
		{"too late for the event", []time.Duration{8 * time.Second}, []time.Duration{0}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := &Input{Now: now, LoadTime: 10 * time.Second, ParallelLoads: 1, WarmUpLead: 5 * time.Second}
			assignments := make([]ryeford.Assignment, len(test.begins))
			var moves []move
			for i, begin := range test.begins {
				m := move{assignment: &assignments[i]}
				if begin > 0 {
					m.begin = now.Add(begin)
				}
				moves = append(moves, m)
			}
			setLatestStarts(in, moves)
			assert.Equal(t, clampStarts(in, moves), test.late)
			for i, a := range assignments {
				assert.Equal(t, a.Start.Sub(now), test.want[i], "load %d", i)
			}
		})
	}
}
