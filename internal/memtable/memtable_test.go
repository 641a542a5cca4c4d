package memtable

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestTransactAtomic checks that one failed condition prevents all writes of a transaction,
// and that the error names the rows whose conditions failed.
func TestTransactAtomic(t *testing.T) {
	table := New(nil)
	version, err := table.Transact(t.Context(), ryeford.Write{Key: "a", Value: []byte("1")})
	assert.NilError(t, err)
	_, err = table.Transact(t.Context(),
		ryeford.Write{Key: "a", Value: []byte("2"), IfVersion: version},
		ryeford.Write{Key: "b", Value: []byte("2"), IfVersion: version},
		ryeford.Write{Key: "c", Value: []byte("2"), IfVersion: ryeford.AnyVersion})
	var conflict *ryeford.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict.Keys, []string{"b"})
	rows, err := table.Get(t.Context(), "a", "b", "c")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []ryeford.Row{{Key: "a", Value: []byte("1"), Version: version}, {Key: "b"}, {Key: "c"}})
}

// TestOutcomes checks that a failed call is not applied, and that a call whose response is lost
// is applied and reports that it may have been.
func TestOutcomes(t *testing.T) {
	outcome := Success
	table := New(func(bool) Outcome { return outcome })
	for _, c := range []struct {
		outcome        Outcome
		applied        bool
		mayHaveApplied bool
	}{
		{Failure, false, false},
		{ResponseLost, true, true},
	} {
		outcome = c.outcome
		_, err := table.Transact(t.Context(), ryeford.Write{Key: "a", IfVersion: ryeford.AnyVersion})
		var unavailable *ryeford.UnavailableError
		assert.Assert(t, errors.As(err, &unavailable))
		assert.Equal(t, unavailable.MayHaveApplied, c.mayHaveApplied)
		_, err = table.List(t.Context(), "")
		assert.Assert(t, errors.As(err, &unavailable))
		outcome = Success
		rows, err := table.List(t.Context(), "")
		assert.NilError(t, err)
		assert.Equal(t, len(rows) == 1, c.applied)
	}
}

// TestContents checks that a table with another one's contents continues from its version,
// and that the two share no state.
func TestContents(t *testing.T) {
	first, second := New(nil), New(nil)
	version, err := first.Transact(t.Context(), ryeford.Write{Key: "a"})
	assert.NilError(t, err)
	second.SetContents(first.Contents())
	next, err := second.Transact(t.Context(), ryeford.Write{Key: "a", Delete: true, IfVersion: version})
	assert.NilError(t, err)
	assert.Equal(t, next, version+1)
	rows, err := first.List(t.Context(), "")
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
}
