package choice

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

var limits = Limits{CapFactor: 2, CapOffset: 2, Domain: "a", DomainPenalty: 0.5}

func drawCandidates(t *rapid.T) []Candidate {
	var candidates []Candidate
	for i := range rapid.IntRange(0, 20).Draw(t, "candidates") {
		id := fmt.Sprintf("e%d", i)
		candidates = append(candidates, Candidate{
			ID:      ryeford.EndpointID(id),
			Domain:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
			Hash:    route.NameHash(id),
			Load:    float64(rapid.IntRange(0, 30).Draw(t, "load")),
			Slots:   8,
			Tried:   rapid.Bool().Draw(t, "tried"),
			Failing: rapid.Bool().Draw(t, "failing"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
		})
	}
	return candidates
}

// TestChoice checks what holds of every choice: it is none that leaves or was
// tried, none that fails while another does not, and none above the bound while
// another is below it.
func TestChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		for _, chosen := range []Choice{
			Affine(candidates, rapid.Uint64().Draw(t, "key"), limits),
			Least(candidates, limits, rapid.IntRange(0, 100).Draw(t, "turn")),
		} {
			usable, sound := 0, 0
			for i := range candidates {
				if c := &candidates[i]; !c.Leaving && !c.Tried {
					usable++
					if !c.Failing {
						sound++
					}
				}
			}
			if usable == 0 {
				assert.Equal(t, chosen.Index, -1)
				continue
			}
			c := &candidates[chosen.Index]
			assert.Assert(t, !c.Leaving && !c.Tried)
			assert.Assert(t, !c.Failing || sound == 0)
			assert.Assert(t, chosen.Holder != chosen.Index)
			if chosen.Reason == ReasonHome || chosen.Reason == ReasonSpill {
				assert.Assert(t, c.Load <= chosen.Cap)
			}
		}
	})
}

// TestHomesMoveLittle checks that an endpoint that joins or leaves moves only the
// prompts that it gains or loses, and all of them from or to it.
func TestHomesMoveLittle(t *testing.T) {
	var candidates []Candidate
	for i := range 12 {
		id := fmt.Sprintf("e%d", i)
		candidates = append(candidates, Candidate{ID: ryeford.EndpointID(id), Hash: route.NameHash(id)})
	}
	more := append(candidates[:12:12], Candidate{ID: "new", Hash: route.NameHash("new")})
	moved := 0
	const keys = 2000
	for key := range uint64(keys) {
		before := Affine(candidates, route.KeyHash(key), limits)
		after := Affine(more, route.KeyHash(key), limits)
		if before.Index == after.Index {
			continue
		}
		moved++
		assert.Equal(t, after.Index, 12)
		// Who had it before is known as the holder.
		assert.Equal(t, after.Holder, before.Index)
	}
	assert.Assert(t, moved > keys/13/2 && moved < keys/13*2, "%d moved", moved)
}

// BenchmarkAffine measures one choice among all engines of letter 1's size.
func BenchmarkAffine(b *testing.B) {
	candidates := make([]Candidate, 3500)
	for i := range candidates {
		id := fmt.Sprintf("e%d", i)
		candidates[i] = Candidate{ID: ryeford.EndpointID(id), Hash: route.NameHash(id), Load: float64(i % 7)}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		Affine(candidates, route.KeyHash(uint64(i)), limits)
	}
}
