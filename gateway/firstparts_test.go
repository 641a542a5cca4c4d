package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestFirstParts checks that the largest first parts are kept, with the endpoint that was last sent each, and are
// named in turn.
func TestFirstParts(t *testing.T) {
	var f firstParts
	assert.Equal(t, len(f.next(3)), 0)
	for i := range 2 * maxKnownFirstParts {
		f.add("small", []ryeford.PromptPart{{ID: uint64(i), Tokens: i}})
	}
	f.add("a", []ryeford.PromptPart{{ID: 1000, Tokens: 2000}, {ID: 1001, Tokens: 5000}})
	f.add("b", []ryeford.PromptPart{{ID: 1000, Tokens: 2000}, {ID: 1002, Tokens: 5000}})
	f.add("c", nil)
	assert.Equal(t, len(f.known), maxKnownFirstParts)
	named := make(map[uint64]ryeford.EndpointID)
	for range maxKnownFirstParts {
		for _, prompt := range f.next(1) {
			assert.Equal(t, len(prompt.Parts), 1)
			named[prompt.Parts[0]] = prompt.Endpoint
		}
	}
	assert.Equal(t, len(named), maxKnownFirstParts, "each is named in turn")
	assert.Equal(t, named[1000], ryeford.EndpointID("b"))
	_, kept := named[0]
	assert.Assert(t, !kept, "the smallest one is dropped")
}
