package slowstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// A simulated fleet in which a third of the endpoints are cold at the same time. Time is simulated,
// and all random numbers are derived from a seed.
const (
	simRate      = 9.6 // requests a second that a cold endpoint can handle
	simEndpoints = 1.8 // endpoints per router
	simDemand    = 11  // requests a second per endpoint, twice the normal load
	simHotShare  = 0.1 // share of requests for the first endpoint, which is cold
	simDuration  = 4 * time.Second
	simSkew      = 40 * time.Millisecond // maximum difference between the routers' clocks
)

// A simRouter is the state of one router.
type simRouter struct {
	fleet  Fleet // Clock is the offset of the router's clock
	table  *Table
	random *rand.Rand
	tokens map[int]float64 // by endpoint, for strategies with token buckets
	at     map[int]time.Duration
	demand map[int]float64 // requests seen for each endpoint
}

// A strategy decides whether a router sends a cold endpoint a request now.
type strategy struct {
	name string
	send func(r *simRouter, endpoint int, hash uint64, now time.Duration) bool
}

// strategies are compared by the simulation. The last one is the one in use.
var strategies = []strategy{
	{"none", func(*simRouter, int, uint64, time.Duration) bool { return false }},
	{"equal shares", func(r *simRouter, endpoint int, _ uint64, now time.Duration) bool {
		return r.spend(endpoint, now, simRate/float64(r.fleet.Routers))
	}},
	{"three routers per endpoint", func(r *simRouter, endpoint int, hash uint64, now time.Duration) bool {
		const holders = 3
		place := (int(hash%uint64(r.fleet.Routers)) + r.fleet.Rank) % r.fleet.Routers
		return place < holders && r.spend(endpoint, now, simRate/holders)
	}},
	{"shares by demand", func(r *simRouter, endpoint int, _ uint64, now time.Duration) bool {
		// Each router takes its local demand for the mean, since it doesn't know the others'.
		r.demand[endpoint]++
		need := r.demand[endpoint] / max(0.5, now.Seconds())
		return r.spend(endpoint, now, min(need, 2*simRate/float64(r.fleet.Routers)))
	}},
	{"time slots", func(r *simRouter, endpoint int, hash uint64, now time.Duration) bool {
		f := r.fleet
		f.Clock += now + time.Hour
		slot, valid := f.TimeSlot(hash, simRate)
		return valid && r.table.Take(ryeford.EndpointID(fmt.Sprint(endpoint)), slot)
	}},
}

// spend takes a token from the endpoint's bucket, which holds at most one and starts with a random
// fraction, and reports whether there was one.
func (r *simRouter) spend(endpoint int, now time.Duration, rate float64) bool {
	if _, ok := r.at[endpoint]; !ok {
		r.tokens[endpoint] = r.random.Float64()
	}
	r.tokens[endpoint] = min(1, r.tokens[endpoint]+rate*(now-r.at[endpoint]).Seconds())
	r.at[endpoint] = now
	if r.tokens[endpoint] < 1 {
		return false
	}
	r.tokens[endpoint]--
	return true
}

// A simResult is the result of a simulation.
type simResult struct {
	maxPerSecond int     // maximum requests in any second at any cold endpoint
	elsewhere    float64 // share of requests for a cold endpoint that went to others
	used         float64 // used share of the cold endpoints' rate
}

// simulate runs a simulation. Some routers know only three quarters of the others, as after a start.
func simulate(w strategy, routers int, seed uint64) simResult {
	random := rand.New(rand.NewPCG(seed, uint64(routers)))
	fleet := make([]*simRouter, routers)
	for i := range fleet {
		known, rank := routers, i
		if random.Float64() < 0.2 {
			known, rank = max(1, routers*3/4), i*3/4
		}
		fleet[i] = &simRouter{
			fleet: Fleet{Rank: rank, Routers: known, Clock: time.Duration(random.Int64N(int64(simSkew)))},
			table: New(), random: random,
			tokens: make(map[int]float64), at: make(map[int]time.Duration), demand: make(map[int]float64),
		}
	}
	endpoints := int(simEndpoints * float64(routers))
	cold := max(1, endpoints/3)
	arrived := make([][]time.Duration, cold)
	demand, sent := 0, 0
	perSecond := float64(simDemand * endpoints)
	for now := time.Duration(0); now < simDuration; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		endpoint := random.IntN(endpoints)
		if random.Float64() < simHotShare {
			endpoint = 0
		}
		if endpoint >= cold {
			continue
		}
		demand++
		if w.send(fleet[random.IntN(routers)], endpoint, route.NameHash(fmt.Sprint(endpoint)), now) {
			arrived[endpoint] = append(arrived[endpoint], now)
			sent++
		}
	}
	result := simResult{
		elsewhere: 1 - float64(sent)/float64(demand),
		used:      float64(sent) / (simRate * simDuration.Seconds() * float64(cold)),
	}
	for _, times := range arrived {
		result.maxPerSecond = max(result.maxPerSecond, maxInSecond(times))
	}
	return result
}

// maxInSecond returns the maximum number of times within one second. times is sorted.
func maxInSecond(times []time.Duration) int {
	maxPerSecond := 0
	for i, from := range times {
		n, _ := slices.BinarySearch(times, from+time.Second)
		maxPerSecond = max(maxPerSecond, n-i)
	}
	return maxPerSecond
}

// TestSimulation guards against time slots that let a cold endpoint exceed its rate in any second, with a
// margin for routers that know different peers. It logs a comparison with other strategies at twice the
// normal load, of which a tenth is for one cold endpoint.
func TestSimulation(t *testing.T) {
	for _, routers := range []int{4, 27, 103, 390} {
		for _, w := range strategies {
			var worst simResult
			for seed := range uint64(3) {
				r := simulate(w, routers, seed)
				worst.maxPerSecond = max(worst.maxPerSecond, r.maxPerSecond)
				worst.elsewhere += r.elsewhere / 3
				worst.used += r.used / 3
			}
			t.Logf("%3d routers, %-26s: at most %3d a second, %.2f went elsewhere, %.2f of the rate used", routers, w.name, worst.maxPerSecond, worst.elsewhere, worst.used)
			if w.name == "time slots" {
				assert.Check(t, float64(worst.maxPerSecond) <= 1.3*simRate, "%d routers", routers)
			}
		}
	}
}
