// Package row reads and writes rows of the platform's table that hold JSON. It owns no
// rows: their keys are those of the packages that call it.
package row

import (
	"context"
	"encoding/json"

	"github.com/ryeford/ryeford"
)

// An Error says that a row can't be read or written.
type Error struct {
	Key string
	Err error
}

func (e *Error) Error() string { return "row " + e.Key + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// Get reads a row into v and returns its version. It leaves v alone if the row is absent,
// whose version is zero. The error is an *Error, or that of ryeford.Table.
func Get(ctx context.Context, table ryeford.Table, key string, v any) (int64, error) {
	rows, err := table.Get(ctx, key)
	if err != nil || rows[0].Version == 0 {
		return 0, err
	}
	return rows[0].Version, Decode(rows[0], v)
}

// Decode reads a row that is there into v. The error is an *Error.
func Decode(row ryeford.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return &Error{Key: row.Key, Err: err}
	}
	return nil
}

// Write returns the write that puts v into a row if the row has a version. The error is
// an *Error.
func Write(key string, v any, ifVersion int64) (ryeford.Write, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return ryeford.Write{}, &Error{Key: key, Err: err}
	}
	return ryeford.Write{Key: key, Value: value, IfVersion: ifVersion}, nil
}
