package prefixcache

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

var start = time.Unix(1000, 0)

func parts(ids ...uint64) []ryeford.PromptPart {
	var result []ryeford.PromptPart
	for _, id := range ids {
		result = append(result, ryeford.PromptPart{ID: id})
	}
	return result
}

// longestPrefix calls LongestPrefix without some endpoints.
func longestPrefix(index *Index, now time.Time, prompt []ryeford.PromptPart, without ...ryeford.EndpointID) (ryeford.EndpointID, int) {
	return index.LongestPrefix(now, prompt, func(id ryeford.EndpointID) bool { return !slices.Contains(without, id) })
}

// TestLongestPrefix checks that the most recent holder of the longest prefix of a prompt is found.
func TestLongestPrefix(t *testing.T) {
	index := New()
	id, depth := longestPrefix(index, start, parts(1, 2))
	assert.Equal(t, id, ryeford.EndpointID(""))
	assert.Equal(t, depth, 0)
	index.Add(start, "a", parts(1, 2))
	index.Add(start, "b", parts(1, 3))
	for _, test := range []struct {
		prompt  []ryeford.PromptPart
		without ryeford.EndpointID
		id      ryeford.EndpointID
		depth   int
	}{
		{parts(1, 2), "", "a", 2},
		{parts(1, 3), "", "b", 2},
		{parts(1, 4), "", "b", 1},
		{parts(1, 2), "a", "b", 1},
		{parts(5, 6), "", "", 0},
	} {
		id, depth := longestPrefix(index, start, test.prompt, test.without)
		assert.Equal(t, id, test.id)
		assert.Equal(t, depth, test.depth)
	}
}

// TestEviction checks that entries are removed after their TTL, with their endpoint, and beyond the limits.
func TestEviction(t *testing.T) {
	index := New()
	index.Add(start, "a", parts(1))
	_, depth := longestPrefix(index, start.Add(holderTTL+1), parts(1))
	assert.Equal(t, depth, 0)
	later := []ryeford.EndpointID{"b", "c", "d", "e"}
	assert.Equal(t, len(later), maxHolders)
	for _, id := range later {
		index.Add(start, id, parts(1)) // the last one evicts a, the oldest
	}
	id, _ := longestPrefix(index, start, parts(1), later...)
	assert.Equal(t, id, ryeford.EndpointID(""))
	index.Remove("e")
	id, _ = longestPrefix(index, start, parts(1))
	assert.Equal(t, id, ryeford.EndpointID("d"))
	for i := range uint64(maxParts + 100) {
		index.Add(start, "d", parts(i))
	}
	assert.Assert(t, len(index.parts) <= maxParts)
}

// TestCachedTokens checks that the tokens of the longest prefix are returned for each endpoint.
func TestCachedTokens(t *testing.T) {
	index := New()
	prompt := []ryeford.PromptPart{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 20}}
	index.Add(start, "a", prompt[:1])
	index.Add(start, "b", prompt)
	cached := index.CachedTokens(start, prompt)
	assert.Equal(t, cached["a"], 100)
	assert.Equal(t, cached["b"], 120)
	assert.Equal(t, cached["c"], 0)
	assert.Equal(t, len(index.CachedTokens(start.Add(holderTTL+1), prompt)), 0, "holders have expired")
}
