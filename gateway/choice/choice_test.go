package choice

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

var limits = Limits{CapFactor: 2, Domain: "a"}

func drawCandidates(t *rapid.T) []Candidate {
	var candidates []Candidate
	for i := range rapid.IntRange(0, 20).Draw(t, "candidates") {
		id := fmt.Sprintf("e%d", i)
		candidates = append(candidates, Candidate{
			ID:            ryeford.EndpointID(id),
			Domain:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
			Hash:          route.NameHash(id),
			Load:          float64(rapid.IntRange(0, 30).Draw(t, "load")),
			Deviation:     float64(rapid.IntRange(0, 5).Draw(t, "deviation")),
			Slots:         8,
			Tried:         rapid.Bool().Draw(t, "tried"),
			Unhealthy:     rapid.Bool().Draw(t, "unhealthy"),
			Draining:      rapid.Bool().Draw(t, "draining"),
			MissingTokens: rapid.IntRange(0, 9000).Draw(t, "missing"),
		})
	}
	return candidates
}

// TestChoice guards invariants of every choice: no draining or tried endpoint, no unhealthy one while
// another is healthy, and none above the cap if it is chosen by affinity.
func TestChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		for _, chosen := range []Choice{
			ByAffinity(candidates, Prompt{Key: rapid.Uint64().Draw(t, "key"), InFlight: float64(rapid.IntRange(0, 200).Draw(t, "in flight"))}, limits, rapid.Uint64().Draw(t, "random")),
			ByLoad(candidates, limits, rapid.IntRange(0, 100).Draw(t, "start")),
		} {
			usable, healthy := 0, 0
			for i := range candidates {
				if c := &candidates[i]; !c.Draining && !c.Tried {
					usable++
					if !c.Unhealthy {
						healthy++
					}
				}
			}
			if usable == 0 {
				assert.Equal(t, chosen.Index, -1)
				continue
			}
			c := &candidates[chosen.Index]
			assert.Assert(t, !c.Draining && !c.Tried)
			assert.Assert(t, !c.Unhealthy || healthy == 0)
			assert.Assert(t, chosen.Alternate != chosen.Index)
			if chosen.Reason == ReasonHome || chosen.Reason == ReasonSpill || chosen.Reason == ReasonSpread {
				assert.Assert(t, !c.isFull(chosen.Cap))
			}
		}
	})
}

// TestMembershipChangeMovesFewHomes guards against an endpoint that joins or leaves moving other
// prompts than those whose home it becomes or was.
func TestMembershipChangeMovesFewHomes(t *testing.T) {
	var candidates []Candidate
	for i := range 12 {
		id := fmt.Sprintf("e%d", i)
		candidates = append(candidates, Candidate{ID: ryeford.EndpointID(id), Hash: route.NameHash(id)})
	}
	more := append(candidates[:12:12], Candidate{ID: "new", Hash: route.NameHash("new")})
	moved := 0
	const keys = 2000
	for key := range uint64(keys) {
		before := ByAffinity(candidates, Prompt{Key: route.KeyHash(key)}, limits, 0)
		after := ByAffinity(more, Prompt{Key: route.KeyHash(key)}, limits, 0)
		if before.Index == after.Index {
			continue
		}
		moved++
		assert.Equal(t, after.Index, 12)
		// The previous home is the alternate.
		assert.Equal(t, after.Alternate, before.Index)
	}
	assert.Assert(t, moved > keys/13/2 && moved < keys/13*2, "%d moved", moved)
}

// BenchmarkByAffinity measures one choice among 3,500 endpoints, the largest supported fleet.
func BenchmarkByAffinity(b *testing.B) {
	candidates := make([]Candidate, 3500)
	for i := range candidates {
		id := fmt.Sprintf("e%d", i)
		candidates[i] = Candidate{ID: ryeford.EndpointID(id), Hash: route.NameHash(id), Load: float64(i % 7)}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ByAffinity(candidates, Prompt{Key: route.KeyHash(uint64(i))}, limits, uint64(i))
	}
}
