package quarantine

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestPending checks that lost attempts are returned once their endpoint has gone, in either order of the two, for a
// limited time.
func TestPending(t *testing.T) {
	var p Pending[string]
	assert.Assert(t, !p.Add(at(0), "e1", "a"))
	assert.Assert(t, !p.Add(at(0.1), "e2", "b"))
	assert.Assert(t, !p.Add(at(0.2), "e1", "c"))
	assert.DeepEqual(t, p.Gone(at(1), "e1"), []string{"a", "c"})
	assert.Equal(t, len(p.Gone(at(1), "e1")), 0, "once")
	assert.Assert(t, p.Add(at(1.5), "e1", "d"), "gone before")
	assert.Equal(t, len(p.Gone(at(3), "e2")), 0, "too late")
	assert.Assert(t, !p.Add(at(4), "e1", "e"))
	for i := range 3 * maxPending {
		p.Add(at(4), ryeford.EndpointID(fmt.Sprint(i)), "x")
		p.Gone(at(4), ryeford.EndpointID(fmt.Sprint("gone", i)))
	}
	assert.Assert(t, len(p.attempts) <= maxPending && len(p.gone) <= maxPending)
}
