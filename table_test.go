package ryeford

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNeedsReadBack checks that rows are read again after exactly those errors that leave their
// values unknown.
func TestNeedsReadBack(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want bool
	}{
		{"conflicting write", &ConflictError{Keys: []string{"k"}}, true},
		{"answer lost", &UnavailableError{MayHaveApplied: true, Err: context.DeadlineExceeded}, true},
		{"not sent, or refused", &UnavailableError{Err: context.DeadlineExceeded}, false},
		{"answer lost, wrapped", fmt.Errorf("publish: %w", &UnavailableError{MayHaveApplied: true, Err: context.Canceled}), true},
		{"any other error", errors.New("fault"), false},
		{"none", nil, false},
	} {
		assert.Equal(t, NeedsReadBack(test.err), test.want, test.name)
	}
}
