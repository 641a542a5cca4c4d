package loads

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/choice"
	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/route"
)

// TestSlowdown checks that a reported slowdown decays toward the usual speed, and that a peer's report of
// the same endpoint doesn't replace it.
func TestSlowdown(t *testing.T) {
	now := time.Unix(1000, 0)
	hash := route.NameHash("a")
	table := New()
	table.Report(now, "a", &ryeford.EndpointLoad{Running: 1})
	assert.Equal(t, table.Observe(now, "a", hash).Slowdown, 0.0)
	table.Report(now, "a", &ryeford.EndpointLoad{Running: 1, Slowdown: 3})
	assert.Equal(t, table.Observe(now, "a", hash).Slowdown, 3.0)
	table.Merge(now.Add(slowdownHalfLife), []peers.Report{{Endpoint: Key(hash), Requests: 1}})
	assert.Equal(t, table.Observe(now.Add(slowdownHalfLife), "a", hash).Slowdown, 2.0)
	assert.Assert(t, math.Abs(table.Observe(now.Add(20*slowdownHalfLife), "a", hash).Slowdown-1) < 0.001)
}

const (
	slowdownEndpoints = 16
	slowdownRate      = 400 // requests a second of all routers
	slowdownWork      = 60 * time.Millisecond
	slowdownSpell     = 250 * time.Millisecond // mean time at one speed
	slowdownLength    = 30 * time.Second
)

// playSlowdowns plays a service whose endpoints are three times as slow for spells of time, and returns the mean
// time of a request. weigh is whether reported slowdowns are used.
func playSlowdowns(routers int, seed uint64, weigh bool) time.Duration {
	r := rand.New(rand.NewPCG(seed, seed))
	tables := make([]*Table, routers)
	for i := range tables {
		tables[i] = New()
	}
	type server struct {
		id      ryeford.EndpointID
		factor  float64
		until   time.Time   // end of the spell
		running []time.Time // ends of its requests
	}
	began := time.Unix(1000, 0)
	servers := make([]server, slowdownEndpoints)
	for i := range servers {
		servers[i] = server{id: ryeford.EndpointID(fmt.Sprint("e", i)), factor: 1, until: began}
	}
	var sum time.Duration
	requests := 0
	for now := began; now.Before(began.Add(slowdownLength)); now = now.Add(time.Duration(r.ExpFloat64() * float64(time.Second) / slowdownRate)) {
		table := tables[r.IntN(routers)]
		candidates := make([]choice.Candidate, len(servers))
		for i := range servers {
			s := &servers[i]
			for !now.Before(s.until) {
				s.until = s.until.Add(time.Duration(r.ExpFloat64() * float64(slowdownSpell)))
				s.factor = []float64{1, 1, 1, 3}[r.IntN(4)]
			}
			var running []time.Time
			for _, end := range s.running {
				if end.After(now) {
					running = append(running, end)
				}
			}
			s.running = running
			known := table.Observe(now, s.id, route.NameHash(string(s.id)))
			load, _ := known.Estimate()
			candidates[i] = choice.Candidate{ID: s.id, Load: load, Slots: 6}
			if weigh {
				candidates[i].Slowdown = known.Slowdown
			}
		}
		to := &servers[choice.ByLoad(candidates, choice.Limits{CapFactor: 2}, r.IntN(len(servers))).Index]
		took := time.Duration(float64(slowdownWork) * to.factor)
		to.running = append(to.running, now.Add(took))
		table.Report(now, to.id, &ryeford.EndpointLoad{Running: len(to.running), Slowdown: to.factor})
		sum += took
		requests++
	}
	return sum / time.Duration(requests)
}

// TestSlowdownReplay replays endpoints whose speed changes several times a second. It guards against reports of
// the speed that are not used where a router gets many of them, and against harm where it gets few.
func TestSlowdownReplay(t *testing.T) {
	for _, test := range []struct {
		routers int
		most    float64 // of the time without the slowdowns
	}{{4, 0.97}, {60, 1.01}, {357, 1.01}, {720, 1.01}} {
		var with, without time.Duration
		for seed := range uint64(3) {
			with += playSlowdowns(test.routers, seed, true)
			without += playSlowdowns(test.routers, seed, false)
		}
		share := float64(with) / float64(without)
		t.Logf("%d routers: %s with, %s without: %.3f", test.routers, with/3, without/3, share)
		assert.Assert(t, share <= test.most, "%d routers: %.3f", test.routers, share)
	}
}
