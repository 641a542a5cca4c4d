package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// at returns the revision with a number in an era.
func at(era, number int64) ryeford.Revision {
	revision, err := ryeford.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return revision
}

// TestEvacuationsInMessage checks that evacuations survive encoding and decoding, and bounds their
// encoded size.
func TestEvacuationsInMessage(t *testing.T) {
	without, err := cbor.Marshal(&Message{})
	assert.NilError(t, err)
	for _, test := range []struct {
		name  string
		known ryeford.Evacuations
		bytes int // at most
	}{
		{"not read", ryeford.Evacuations{}, 0},
		{"none", ryeford.Evacuations{Revision: at(0, 70_000)}, 10},
		{"one", ryeford.Evacuations{Revision: at(0, 70_000), Orders: []ryeford.Evacuation{{FailureDomain: "zg-b", State: at(0, 69_000)}}}, 22},
		{"in a later era", ryeford.Evacuations{Revision: at(3, 70_000), Orders: []ryeford.Evacuation{{FailureDomain: "zg-b", State: at(3, 69_000)}}}, 22},
	} {
		content, err := cbor.Marshal(&Message{Evacuations: EncodeEvacuations(test.known)})
		assert.NilError(t, err)
		var got Message
		assert.NilError(t, cbor.Unmarshal(content, &got))
		assert.DeepEqual(t, got.Evacuations.Decode(), test.known)
		t.Logf("%s: %d bytes", test.name, len(content)-len(without))
		assert.Assert(t, len(content)-len(without) <= test.bytes, test.name)
	}
}

// TestListInMessage checks that a list survives encoding and decoding, bounds its encoded size, and
// checks that invalid revisions are rejected.
func TestListInMessage(t *testing.T) {
	without, err := cbor.Marshal(&Message{})
	assert.NilError(t, err)
	content, err := cbor.Marshal(&Message{List: NewList(at(3, 70_000), at(3, 70_001), true, 90*time.Second)})
	assert.NilError(t, err)
	assert.Assert(t, len(content)-len(without) <= 23, "%d bytes", len(content)-len(without))
	var got Message
	assert.NilError(t, cbor.Unmarshal(content, &got))
	from, to, ok := got.List.Revisions()
	assert.Assert(t, ok)
	assert.Equal(t, from, at(3, 70_000))
	assert.Equal(t, to, at(3, 70_001))
	_, _, ok = (&List{Era: 1, To: -1}).Revisions()
	assert.Assert(t, !ok)
	malformed := Evacuations{Era: -1, Number: 7}
	assert.Equal(t, malformed.Decode().Revision, ryeford.Revision(0))
}

// TestOlderRelease checks that this release and an older one, which sends no era, don't accept each
// other's confirmations of the list, the evacuations and the configuration.
func TestOlderRelease(t *testing.T) {
	const confirmed, list, evacuations = 12, 19, 20
	content, err := cbor.Marshal(map[int]any{7: 3, 11: 90, confirmed: true, list: []any{7, 9, false, 90}, evacuations: []any{9, []any{}}})
	assert.NilError(t, err)
	var got Message
	assert.NilError(t, cbor.Unmarshal(content, &got))
	assert.Assert(t, got.List == nil && got.Evacuations == nil && !got.Confirmed)
	assert.Equal(t, got.Version, int64(3))

	content, err = cbor.Marshal(&Message{Confirmed: true, List: &List{To: 9}, Evacuations: &Evacuations{Number: 9}})
	assert.NilError(t, err)
	older := make(map[int]any)
	assert.NilError(t, cbor.Unmarshal(content, &older))
	for _, key := range []int{confirmed, list, evacuations} {
		_, set := older[key]
		assert.Assert(t, !set, "key %d", key)
	}
}
