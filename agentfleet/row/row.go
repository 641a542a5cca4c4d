// Package row reads and writes rows of the platform's table that contain JSON. The rows
// and their keys belong to the calling packages.
package row

import (
	"context"
	"encoding/json"

	"github.com/ryeford/ryeford"
)

// An Error reports that the value of a row can't be encoded or decoded.
type Error struct {
	Key string
	Err error
}

func (e *Error) Error() string { return "row " + e.Key + ": " + e.Err.Error() }

func (e *Error) Unwrap() error { return e.Err }

// Get decodes a row into v and returns its version. If the row is absent, Get returns
// version zero and does not modify v. The error is an *Error or that of ryeford.Table.
func Get(ctx context.Context, table ryeford.Table, key string, v any) (int64, error) {
	rows, err := table.Get(ctx, key)
	if err != nil || rows[0].Version == 0 {
		return 0, err
	}
	return rows[0].Version, Decode(rows[0], v)
}

// Decode decodes a row that is present into v. The error is an *Error.
func Decode(row ryeford.Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return &Error{Key: row.Key, Err: err}
	}
	return nil
}

// NewWrite returns a write that stores v in a row if the row's version is ifVersion. The
// error is an *Error.
func NewWrite(key string, v any, ifVersion int64) (ryeford.Write, error) {
	value, err := json.Marshal(v)
	if err != nil {
		return ryeford.Write{}, &Error{Key: key, Err: err}
	}
	return ryeford.Write{Key: key, Value: value, IfVersion: ifVersion}, nil
}
