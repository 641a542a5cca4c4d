package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

// TestSums checks the incrementally updated sums against a recount over all peers.
func TestSums(t *testing.T) {
	type received struct {
		at            time.Time
		loads         []Load
		total, demand int
	}
	const prompt = 77
	rapid.Check(t, func(t *rapid.T) {
		table := New(self, Limits{LoadTTL: 500 * time.Millisecond, PeerTTL: 2 * time.Second, MaxPeers: 8})
		model := make(map[byte]received)
		now := start
		for sequence := range uint64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * sweepInterval)
			from := byte(rapid.IntRange(1, 6).Draw(t, "from"))
			if rapid.Bool().Draw(t, "receives") {
				m := message(from, 1, sequence+1, rapid.IntRange(1, 9).Draw(t, "requests"))
				if rapid.Bool().Draw(t, "another") {
					m.Loads = append(m.Loads, Load{Endpoint: "f", Requests: 2})
				}
				total, demand := rapid.IntRange(0, 9).Draw(t, "total"), rapid.IntRange(1, 9).Draw(t, "demand")
				m.Totals = []Total{{Service: uint32(route.NameHash("s")), Requests: total}}
				m.Demands = []Demand{{Prompt: prompt, Requests: demand}}
				newer, _ := table.Receive(now, m)
				assert.Assert(t, newer)
				model[from] = received{at: now, loads: m.Loads, total: total, demand: demand}
			}
			for _, endpoint := range []ryeford.EndpointID{"e", "f"} {
				sum, fresh, alive, total, demand := 0, 0, 0, 0, 0
				for _, peer := range model {
					if now.Sub(peer.at) <= 2*time.Second {
						alive++
					}
					if now.Sub(peer.at) <= 500*time.Millisecond {
						fresh++
						total += peer.total
						demand += peer.demand
						for _, load := range peer.loads {
							if load.Endpoint == endpoint {
								sum += load.Requests
							}
						}
					}
				}
				assert.Equal(t, table.Requests(now, endpoint), sum)
				sample := table.Sample(now, "s")
				assert.Equal(t, sample.Alive, alive)
				assert.Equal(t, sample.Counted, fresh)
				assert.Equal(t, sample.Complete, 0)
				assert.Equal(t, sample.Requests, total)
				assert.Equal(t, table.Demand(now, prompt), demand)
			}
		}
	})
}
