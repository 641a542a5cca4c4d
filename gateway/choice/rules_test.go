package choice

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/route"
)

const testKey = 12345

// inOrder returns one candidate for each load, in the rendezvous order of testKey. Their IDs are
// first, second, third and fourth.
func inOrder(loads ...float64) []Candidate {
	candidates := make([]Candidate, len(loads))
	for i := range candidates {
		candidates[i].Hash = route.NameHash([]string{"a", "b", "c", "d"}[i])
	}
	ordered := make([]Candidate, 0, len(candidates))
	for place, load := range loads {
		i := best(candidates, testKey, -1, (*Candidate).usable)
		candidate := candidates[i]
		candidates[i].Tried = true // skipped from here on
		candidate.ID = []ryeford.EndpointID{"first", "second", "third", "fourth"}[place]
		candidate.Load, candidate.Slots = load, 8
		ordered = append(ordered, candidate)
	}
	return ordered
}

// TestByAffinity checks which of three endpoints in rendezvous order a prompt is sent to.
// With a cap factor of 2, an endpoint is full above twice the mean plus 2.
func TestByAffinity(t *testing.T) {
	for _, test := range []struct {
		name   string
		loads  [3]float64
		change func(c []Candidate)
		want   ryeford.EndpointID
		reason Reason
		other  ryeford.EndpointID // the alternate
	}{
		{"all idle", [3]float64{0, 0, 0}, nil, "first", ReasonHome, "second"},
		{"the second has one request fewer", [3]float64{1, 0, 0}, nil, "first", ReasonHome, "second"},
		{"the second has two requests fewer and holds the prompt", [3]float64{2, 0, 2}, nil, "second", ReasonLighter, "first"},
		{"the second has two requests fewer and lacks many tokens", [3]float64{2, 0, 2},
			func(c []Candidate) { c[1].MissingTokens = 5000 }, "first", ReasonHome, "second"},
		{"the third is much less loaded", [3]float64{4, 4, 0}, nil, "third", ReasonLighter, "first"},
		{"the third is much less loaded and lacks many tokens", [3]float64{4, 4, 0},
			func(c []Candidate) { c[2].MissingTokens = 5000 }, "first", ReasonHome, "second"},
		{"the third is less loaded and the second the least loaded", [3]float64{4, 0, 1}, nil, "second", ReasonLighter, "first"},
		{"the first is full", [3]float64{11, 1, 1}, nil, "second", ReasonSpill, "first"},
		{"the first may be full: its load is uncertain", [3]float64{10, 1, 1},
			func(c []Candidate) { c[0].Deviation = 1 }, "second", ReasonSpill, "first"},
		{"the first is full, and the second lacks many tokens", [3]float64{11, 1, 1},
			func(c []Candidate) { c[1].MissingTokens = 5000 }, "third", ReasonSpill, "first"},
		{"the first is tried", [3]float64{0, 0, 0},
			func(c []Candidate) { c[0].Tried = true }, "second", ReasonHome, "first"},
		{"the first is unhealthy", [3]float64{0, 0, 0},
			func(c []Candidate) { c[0].Unhealthy = true }, "second", ReasonHome, "third"},
		{"the first is draining", [3]float64{0, 0, 0},
			func(c []Candidate) { c[0].Draining = true }, "second", ReasonHome, "first"},
		{"only an unhealthy one is left", [3]float64{0, 0, 0},
			func(c []Candidate) { c[0].Tried, c[1].Draining, c[2].Unhealthy = true, true, true }, "third", ReasonLastResort, "first"},
		{"none is left", [3]float64{0, 0, 0},
			func(c []Candidate) { c[0].Tried, c[1].Tried, c[2].Draining = true, true, true }, "", ReasonNone, "first"},
	} {
		candidates := inOrder(test.loads[:]...)
		if test.change != nil {
			test.change(candidates)
		}
		chosen := ByAffinity(candidates, Prompt{Key: testKey}, limits, 0)
		assert.Equal(t, idOf(candidates, chosen.Index), test.want, test.name)
		assert.Equal(t, chosen.Reason, test.reason, test.name)
		assert.Equal(t, idOf(candidates, chosen.Alternate), test.other, test.name)
		assert.Equal(t, chosen.AlternateFirst, chosen.Index >= 0 && chosen.Alternate < chosen.Index, test.name)
	}
}

// TestLessLoaded guards against moving a prompt to a less loaded endpoint unless the difference in load
// outweighs the tokens that it lacks, and against counting what the first endpoint lacks. The other
// endpoints have 8 requests. One request counts as 300 tokens, and the gain must exceed 300.
func TestLessLoaded(t *testing.T) {
	for _, test := range []struct {
		name                        string
		secondLoad                  float64
		firstMissing, secondMissing int // tokens
		want                        ryeford.EndpointID
		reason                      Reason
	}{
		{"the same load", 8, 0, 0, "first", ReasonHome},
		{"one request fewer: the gain is too small", 7, 0, 0, "first", ReasonHome},
		{"two requests fewer", 6, 0, 0, "second", ReasonLighter},
		{"two requests fewer, and the tokens of one request are missing", 6, 0, 300, "first", ReasonHome},
		{"four requests fewer, and the tokens of two requests are missing", 4, 0, 600, "second", ReasonLighter},
		{"many tokens are missing from both", 4, 8000, 8000, "first", ReasonHome},
		{"the same load, and many tokens are missing", 8, 0, 8000, "first", ReasonHome},
	} {
		candidates := inOrder(8, test.secondLoad, 8, 8)
		candidates[0].MissingTokens, candidates[1].MissingTokens = test.firstMissing, test.secondMissing
		chosen := ByAffinity(candidates, Prompt{Key: testKey}, limits, 0)
		assert.Equal(t, idOf(candidates, chosen.Index), test.want, test.name)
		assert.Equal(t, chosen.Reason, test.reason, test.name)
		if test.reason == ReasonLighter {
			assert.Equal(t, idOf(candidates, chosen.Alternate), ryeford.EndpointID("first"), test.name)
		}
	}
}

// idOf returns the ID of the i-th candidate, or "" if i is negative.
func idOf(candidates []Candidate, i int) ryeford.EndpointID {
	if i < 0 {
		return ""
	}
	return candidates[i].ID
}

// TestByLoad checks where a request without a shared prompt is sent. The router is in failure
// domain a.
func TestByLoad(t *testing.T) {
	for _, test := range []struct {
		name       string
		candidates []Candidate
		start      int
		want       ryeford.EndpointID
		reason     Reason
	}{
		{"the least loaded", []Candidate{{ID: "x", Domain: "a", Load: 2, Slots: 8}, {ID: "y", Domain: "a", Load: 1, Slots: 8}}, 0, "y", ReasonLeastLoaded},
		{"the local domain between equals", []Candidate{{ID: "x", Domain: "b", Slots: 8}, {ID: "y", Domain: "a", Slots: 8}}, 0, "y", ReasonLeastLoaded},
		{"another domain with one request fewer", []Candidate{{ID: "x", Domain: "b", Slots: 8}, {ID: "y", Domain: "a", Load: 1, Slots: 8}}, 0, "x", ReasonLeastLoaded},
		{"waiting requests count twice", []Candidate{{ID: "x", Domain: "a", Load: 5, Slots: 2}, {ID: "y", Domain: "a", Load: 7, Slots: 8}}, 0, "y", ReasonLeastLoaded},
		{"equals in rotation: the first", []Candidate{{ID: "x", Domain: "a", Slots: 8}, {ID: "y", Domain: "a", Slots: 8}}, 2, "x", ReasonLeastLoaded},
		{"equals in rotation: the second", []Candidate{{ID: "x", Domain: "a", Slots: 8}, {ID: "y", Domain: "a", Slots: 8}}, 3, "y", ReasonLeastLoaded},
		{"a loaded one before an unhealthy one", []Candidate{{ID: "x", Domain: "a", Load: 50}, {ID: "y", Domain: "a", Unhealthy: true}}, 0, "x", ReasonLeastLoaded},
		{"an unhealthy one before none", []Candidate{{ID: "x", Domain: "a", Tried: true}, {ID: "y", Domain: "a", Unhealthy: true}}, 0, "y", ReasonLastResort},
		{"none", []Candidate{{ID: "x", Domain: "a", Tried: true}, {ID: "y", Domain: "a", Draining: true}}, 0, "", ReasonNone},
		{"no candidates", nil, 0, "", ReasonNone},
	} {
		chosen := ByLoad(test.candidates, limits, test.start)
		assert.Equal(t, idOf(test.candidates, chosen.Index), test.want, test.name)
		assert.Equal(t, chosen.Reason, test.reason, test.name)
	}
}

// TestCap checks the load above which an endpoint is full, given the loads of all.
func TestCap(t *testing.T) {
	for _, test := range []struct {
		candidates []Candidate
		mean, full float64
	}{
		{nil, 0, 2},
		{[]Candidate{{Load: 0}, {Load: 0}}, 0, 2},
		{[]Candidate{{Load: 4}, {Load: 2}}, 3, 8},
		{[]Candidate{{Load: 4}, {Load: 2}, {Load: 90, Draining: true}}, 3, 8},
		{[]Candidate{{Load: 4, Unhealthy: true}, {Load: 2, Tried: true}}, 3, 8},
	} {
		chosen := ByLoad(test.candidates, limits, 0)
		assert.Equal(t, chosen.Mean, test.mean)
		assert.Equal(t, chosen.Cap, test.full)
	}
}

// TestFetchFromAlternate checks when the chosen endpoint fetches missing tokens of a prompt with two
// shared parts from the alternate.
func TestFetchFromAlternate(t *testing.T) {
	home := Choice{Reason: ReasonHome, Alternate: 1}
	for _, test := range []struct {
		name    string
		chosen  Choice
		indexed int
		joined  bool
		want    bool
	}{
		{"all parts are indexed", Choice{Reason: ReasonSpill, Alternate: 1}, 2, true, false},
		{"no part is indexed", home, 0, false, true},
		{"no part is indexed and there is no alternate", Choice{Reason: ReasonHome, Alternate: -1}, 0, false, false},
		{"a prefix is indexed, sent home", home, 1, false, false},
		{"a prefix is indexed, home has joined recently", home, 1, true, true},
		{"a prefix is indexed, home is draining", Choice{Reason: ReasonHome, Alternate: 1, AlternateFirst: true}, 1, false, true},
		{"a prefix is indexed, not sent home", Choice{Reason: ReasonSpill, Alternate: 1}, 1, false, true},
	} {
		assert.Equal(t, FetchFromAlternate(&test.chosen, test.indexed, 2, test.joined), test.want, test.name)
	}
}

// TestTopCandidates checks that the highest scores are kept in descending order, regardless of the
// order of insertion.
func TestTopCandidates(t *testing.T) {
	for n := range 2 * maxReplacements {
		var first topCandidates
		for i := range n {
			first.add(i, uint64(i*5%n)) // each score from 0 to n-1 once, or 0 alone
		}
		assert.Equal(t, first.n, min(n, maxReplacements))
		for place := 1; place < first.n; place++ {
			assert.Assert(t, first.scores[place] <= first.scores[place-1])
		}
		if n > 0 && n%5 != 0 {
			assert.Equal(t, first.scores[0], uint64(n-1))
		}
	}
}
