package ryeford

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRevision checks that revisions are ordered by era before number, and that an era or a number
// that doesn't fit its bits is rejected.
func TestRevision(t *testing.T) {
	var revisions []Revision
	for _, state := range []struct{ era, number int64 }{{0, 0}, {0, 1}, {0, maxNumber}, {1, 0}, {1, 44}, {2, 5}, {maxEra, maxNumber}} {
		r, err := NewRevision(state.era, state.number)
		assert.NilError(t, err)
		assert.Equal(t, r.Era(), state.era)
		assert.Equal(t, r.Number(), state.number)
		revisions = append(revisions, r)
	}
	assert.Assert(t, slices.IsSorted(revisions))
	assert.Equal(t, revisions[5].String(), "2.5")
	for _, state := range []struct{ era, number int64 }{{-1, 0}, {maxEra + 1, 0}, {0, -1}, {0, maxNumber + 1}} {
		_, err := NewRevision(state.era, state.number)
		assert.ErrorType(t, err, &RevisionError{})
	}
}
