package ryeford

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNeedsReadBack checks after which errors of a write its rows are read again.
func TestNeedsReadBack(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want bool
	}{
		{"another write came first", &ConflictError{Keys: []string{"k"}}, true},
		{"the answer was lost", &UnavailableError{MayHaveApplied: true, Err: context.DeadlineExceeded}, true},
		{"not sent, or refused", &UnavailableError{Err: context.DeadlineExceeded}, false},
		{"the answer was lost, wrapped", fmt.Errorf("publish: %w", &UnavailableError{MayHaveApplied: true, Err: context.Canceled}), true},
		{"any other error", errors.New("fault"), false},
		{"none", nil, false},
	} {
		assert.Equal(t, NeedsReadBack(test.err), test.want, test.name)
	}
}
