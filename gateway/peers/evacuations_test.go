package peers

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestEvacuationsInMessage checks that evacuations come back from a message as they were sent, and
// how many bytes they take.
func TestEvacuationsInMessage(t *testing.T) {
	without, err := cbor.Marshal(&Message{})
	assert.NilError(t, err)
	for _, test := range []struct {
		name  string
		known ryeford.Evacuations
		bytes int // at most
	}{
		{"not read", ryeford.Evacuations{}, 0},
		{"none", ryeford.Evacuations{Revision: 70_000}, 8},
		{"one", ryeford.Evacuations{Revision: 70_000, Orders: []ryeford.Evacuation{{FailureDomain: "zg-b", State: 69_000}}}, 20},
	} {
		content, err := cbor.Marshal(&Message{Evacuations: EvacuationsOf(test.known)})
		assert.NilError(t, err)
		var got Message
		assert.NilError(t, cbor.Unmarshal(content, &got))
		assert.DeepEqual(t, got.Evacuations.Read(), test.known)
		t.Logf("%s: %d bytes", test.name, len(content)-len(without))
		assert.Assert(t, len(content)-len(without) <= test.bytes, test.name)
	}
}
