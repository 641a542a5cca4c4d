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

// A replayed fleet: routers before endpoints of which a third are cold at once. All is drawn from a
// seed, and time is simulated.
const (
	replayedRate      = 9.6 // requests a second that a cold endpoint bears
	replayedEndpoints = 1.8 // endpoints for each router
	replayedDemand    = 11  // requests a second and endpoint: twice the usual
	replayedHot       = 0.1 // part of the requests that want the first endpoint, which is cold
	replayedLength    = 4 * time.Second
	replayedSkew      = 40 * time.Millisecond // by which routers' clocks differ at the most
)

// A replayedRouter is what one router knows.
type replayedRouter struct {
	fleet  Fleet // its Clock is what its clock is ahead of the time
	table  *Table
	random *rand.Rand
	tokens map[int]float64 // by endpoint, of the ways that count them
	at     map[int]time.Duration
	wanted map[int]float64 // requests a second that it was seen to need, by endpoint
}

// A way decides whether a router sends a cold endpoint a request now.
type way struct {
	name string
	send func(r *replayedRouter, endpoint int, hash uint64, now time.Duration) bool
}

// ways are those that were weighed; the one in force is the last.
var ways = []way{
	{"nothing", func(*replayedRouter, int, uint64, time.Duration) bool { return false }},
	{"equal parts", func(r *replayedRouter, endpoint int, _ uint64, now time.Duration) bool {
		return r.spend(endpoint, now, replayedRate/float64(r.fleet.Routers))
	}},
	{"three routers each", func(r *replayedRouter, endpoint int, hash uint64, now time.Duration) bool {
		const holders = 3
		place := (int(hash%uint64(r.fleet.Routers)) + r.fleet.Rank) % r.fleet.Routers
		return place < holders && r.spend(endpoint, now, replayedRate/holders)
	}},
	{"parts by need", func(r *replayedRouter, endpoint int, _ uint64, now time.Duration) bool {
		// Each takes its need to be the mean one's: it knows no other's.
		r.wanted[endpoint]++
		need := r.wanted[endpoint] / max(0.5, now.Seconds())
		return r.spend(endpoint, now, min(need, 2*replayedRate/float64(r.fleet.Routers)))
	}},
	{"turns", func(r *replayedRouter, endpoint int, hash uint64, now time.Duration) bool {
		f := r.fleet
		f.Clock += now + time.Hour
		turn, valid := f.Turn(hash, replayedRate)
		return valid && r.table.Take(ryeford.EndpointID(fmt.Sprint(endpoint)), turn)
	}},
}

// spend takes a token of an endpoint, which come at a rate, one at most; at first there is a part of
// one.
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

// replayed is what a replay has shown.
type replayed struct {
	most      int     // requests in any second at any cold endpoint
	elsewhere float64 // part of the requests that wanted a cold endpoint and went to others
	used      float64 // part of what the cold endpoints bear
}

// replay plays a way. Some routers know a quarter of the others less, and some have just started.
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

// mostInSecond returns how many of some times, in order, lie within one second.
func mostInSecond(times []time.Duration) int {
	most := 0
	for i, from := range times {
		n, _ := slices.BinarySearch(times, from+time.Second)
		most = max(most, n-i)
	}
	return most
}

// TestReplay plays cold endpoints in a crowd at twice the usual load, of which one is wanted by a
// tenth of all requests, and compares the ways to share what they bear. With turns no endpoint gets
// more in any second than it bears, but for what different views of the fleet add.
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
			t.Logf("%3d routers, %-18s: at most %3d a second, %.2f went elsewhere, %.2f of the allowance used", routers, w.name, worst.most, worst.elsewhere, worst.used)
			if w.name == "turns" {
				assert.Check(t, float64(worst.most) <= 1.3*replayedRate, "%d routers", routers)
			}
		}
	}
}
