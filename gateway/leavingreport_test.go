package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

// An endpoint announced that it leaves while the store was away: its entry still said ready, and its
// answers said otherwise. The router that had passed such an answer on sent it requests ten seconds
// later.

// TestLeavingByAnswer checks that a router sends nothing more to an endpoint once an answer has said
// that it leaves, though the list has it as ready and the store is away.
func TestLeavingByAnswer(t *testing.T) {
	f := startedFixture(t, nil)
	f.cutOffStore()
	p1 := f.endpoints["p1"]
	p1.SetLeaving(true)
	f.await("an answer that says so", func() bool {
		return f.call("GET", "/open/a").header.Get("Server-Leaving") == "1"
	})
	received := len(p1.Received())
	for range 20 {
		assert.Equal(t, f.call("GET", "/open/a").status, 200)
	}
	assert.Equal(t, len(p1.Received()), received)
}
