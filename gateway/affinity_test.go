package gateway

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/route"
)

// TestTopEntries checks that the entries with the highest scores for a prompt are kept, for any
// number and order of entries.
func TestTopEntries(t *testing.T) {
	const prompt = 12345
	for _, n := range []int{0, 1, maxTopEntries, maxTopEntries + 1, 500} {
		entries := make([]*roster.Entry, n)
		for i := range entries {
			entries[i] = &roster.Entry{Hash: route.NameHash(fmt.Sprint(i))}
		}
		var top topEntries
		top.addAll(prompt, entries[:n/3])
		top.addAll(prompt, entries[n/3:])
		slices.SortFunc(entries, func(a, b *roster.Entry) int {
			if route.Mix(prompt, a.Hash) > route.Mix(prompt, b.Hash) {
				return -1
			}
			return 1
		})
		kept := top.entries[:top.n]
		assert.Equal(t, len(kept), min(n, maxTopEntries))
		for _, entry := range entries[:len(kept)] {
			assert.Assert(t, slices.Contains(kept, entry))
		}
	}
}
