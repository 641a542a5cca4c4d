package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

func TestNotRun(t *testing.T) {
	netError := func(op string, err error) error {
		return &Error{Op: PathCompletions, Err: &url.Error{Op: "Post", Err: &net.OpError{Op: op, Err: err}}}
	}
	for _, test := range []struct {
		rule string
		err  error
		want bool
	}{
		{"the connection could not be established", netError("dial", io.EOF), true},
		{"the connection failed while the request was written", netError("write", io.EOF), false},
		{"the connection failed while the response was read", netError("read", io.EOF), false},
		{"the engine is unavailable", statusError(PathCompletions, &http.Response{StatusCode: http.StatusServiceUnavailable}), true},
		{"the engine has too many requests", statusError(PathCompletions, &http.Response{StatusCode: http.StatusTooManyRequests}), true},
		{"the engine does not have the model", statusError(PathCompletions, &http.Response{StatusCode: http.StatusNotFound}), true},
		{"the engine failed", statusError(PathCompletions, &http.Response{StatusCode: http.StatusInternalServerError}), false},
		{"the engine refused an order", statusError(PathServing, &http.Response{StatusCode: http.StatusPreconditionFailed}), false},
		{"the stream broke", &Error{Op: "read stream", Err: io.ErrUnexpectedEOF}, false},
		{"the context ended", &Error{Op: PathCompletions, Err: context.Canceled}, false},
		{"the event ID is invalid", &ryeford.InputError{}, false},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, NotRun(test.err), test.want)
		})
	}
}
