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
// and all random numbers come from a seed.
const (
	replayedRate      = 9.6 // requests a second that a cold endpoint can handle
	replayedEndpoints = 1.8 // endpoints per router
	replayedDemand    = 11  // requests a second per endpoint, twice the normal load
	replayedHot       = 0.1 // share of requests for the first endpoint, which is cold
	replayedLength    = 4 * time.Second
	replayedSkew      = 40 * time.Millisecond // maximum difference between the routers' clocks
)

// A replayedRouter is the state of one router.
type replayedRouter struct {
	fleet  Fleet // Clock is the offset of the router's clock
	table  *Table
	random *rand.Rand
	tokens map[int]float64 // by endpoint, for ways with token buckets
	at     map[int]time.Duration
	wanted map[int]float64 // requests seen for each endpoint
}

// A way decides whether a router sends a cold endpoint a request now.
type way struct {
	name string
	send func(r *replayedRouter, endpoint int, hash uint64, now time.Duration) bool
}

// ways are compared by the simulation. The last one is the one in use.
var ways = []way{
	{"none", func(*replayedRouter, int, uint64, time.Duration) bool { return false }},
	{"equal shares", func(r *replayedRouter, endpoint int, _ uint64, now time.Duration) bool {
		return r.spend(endpoint, now, replayedRate/float64(r.fleet.Routers))
	}},
	{"three routers per endpoint", func(r *replayedRouter, endpoint int, hash uint64, now time.Duration) bool {
		const holders = 3
		place := (int(hash%uint64(r.fleet.Routers)) + r.fleet.Rank) % r.fleet.Routers
		return place < holders && r.spend(endpoint, now, replayedRate/holders)
	}},
	{"shares by demand", func(r *replayedRouter, endpoint int, _ uint64, now time.Duration) bool {
		// Each router takes its own demand for the mean, since it doesn't know the others'.
		r.wanted[endpoint]++
		need := r.wanted[endpoint] / max(0.5, now.Seconds())
		return r.spend(endpoint, now, min(need, 2*replayedRate/float64(r.fleet.Routers)))
	}},
	{"time slots", func(r *replayedRouter, endpoint int, hash uint64, now time.Duration) bool {
		f := r.fleet
		f.Clock += now + time.Hour
		turn, valid := f.Turn(hash, replayedRate)
		return valid && r.table.Take(ryeford.EndpointID(fmt.Sprint(endpoint)), turn)
	}},
}

// spend takes a token from the endpoint's bucket, which holds at most one and starts with a random
// fraction, and reports whether there was one.
func (r *replayedRouter) spend(endpoint int, now time.Duration, rate float64) bool {
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

// A replayed is the result of a simulation.
type replayed struct {
	most      int     // maximum requests in any second at any cold endpoint
	elsewhere float64 // share of requests for a cold endpoint that went to others
	used      float64 // used share of the cold endpoints' rate
}

// replay runs a simulation. Some routers know only three quarters of the others, as after a start.
func replay(w way, routers int, seed uint64) replayed {
	random := rand.New(rand.NewPCG(seed, uint64(routers)))
	fleet := make([]*replayedRouter, routers)
	for i := range fleet {
		known, rank := routers, i
		if random.Float64() < 0.2 {
			known, rank = max(1, routers*3/4), i*3/4
		}
		fleet[i] = &replayedRouter{
			fleet: Fleet{Rank: rank, Routers: known, Clock: time.Duration(random.Int64N(int64(replayedSkew)))},
			table: New(), random: random,
			tokens: make(map[int]float64), at: make(map[int]time.Duration), wanted: make(map[int]float64),
		}
	}
	endpoints := int(replayedEndpoints * float64(routers))
	cold := max(1, endpoints/3)
	arrived := make([][]time.Duration, cold)
	wanted, sent := 0, 0
	perSecond := float64(replayedDemand * endpoints)
	for now := time.Duration(0); now < replayedLength; now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		endpoint := random.IntN(endpoints)
		if random.Float64() < replayedHot {
			endpoint = 0
		}
		if endpoint >= cold {
			continue
		}
		wanted++
		if w.send(fleet[random.IntN(routers)], endpoint, route.NameHash(fmt.Sprint(endpoint)), now) {
			arrived[endpoint] = append(arrived[endpoint], now)
			sent++
		}
	}
	result := replayed{
		elsewhere: 1 - float64(sent)/float64(wanted),
		used:      float64(sent) / (replayedRate * replayedLength.Seconds() * float64(cold)),
	}
	for _, times := range arrived {
		result.most = max(result.most, mostInSecond(times))
	}
	return result
}

// mostInSecond returns the maximum number of times within one second. times is sorted.
func mostInSecond(times []time.Duration) int {
	most := 0
	for i, from := range times {
		n, _ := slices.BinarySearch(times, from+time.Second)
		most = max(most, n-i)
	}
	return most
}

// TestReplay guards against time slots that let a cold endpoint exceed its rate in any second, with a
// margin for routers that know different peers. It logs a comparison with other ways at twice the
// normal load, of which a tenth is for one cold endpoint.
func TestReplay(t *testing.T) {
	for _, routers := range []int{4, 27, 103, 390} {
		for _, w := range ways {
			var worst replayed
			for seed := range uint64(3) {
				r := replay(w, routers, seed)
				worst.most = max(worst.most, r.most)
				worst.elsewhere += r.elsewhere / 3
				worst.used += r.used / 3
			}
			t.Logf("%3d routers, %-26s: at most %3d a second, %.2f went elsewhere, %.2f of the rate used", routers, w.name, worst.most, worst.elsewhere, worst.used)
			if w.name == "time slots" {
				assert.Check(t, float64(worst.most) <= 1.3*replayedRate, "%d routers", routers)
			}
		}
	}
}
