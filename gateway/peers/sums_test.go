package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
)

// TestSums checks that the sums which are kept from message to message are those
// that counting all peers anew would give.
func TestSums(t *testing.T) {
	type received struct {
		at    time.Time
		loads []Load
	}
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
				assert.Assert(t, table.Receive(now, m))
				model[from] = received{at: now, loads: m.Loads}
			}
			for _, endpoint := range []ryeford.EndpointID{"e", "f"} {
				sum, fresh, alive := 0, 0, 0
				for _, peer := range model {
					if now.Sub(peer.at) <= 2*time.Second {
						alive++
					}
					if now.Sub(peer.at) <= 500*time.Millisecond {
						fresh++
						for _, load := range peer.loads {
							if load.Endpoint == endpoint {
								sum += load.Requests
							}
						}
					}
				}
				got, known := table.Requests(now, endpoint)
				assert.Equal(t, known, fresh > 0)
				if fresh > 0 {
					assert.Equal(t, got, float64(sum)*float64(alive)/float64(fresh))
				}
			}
		}
	})
}
