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
		{"the connection was not made", netError("dial", io.EOF), true},
		{"it broke while the request was written", netError("write", io.EOF), false},
		{"or before the response came", netError("read", io.EOF), false},
		{"the engine is full", statusError(PathCompletions, &http.Response{StatusCode: http.StatusServiceUnavailable}), true},
		{"or has too many requests", statusError(PathCompletions, &http.Response{StatusCode: http.StatusTooManyRequests}), true},
		{"it does not know the model", statusError(PathCompletions, &http.Response{StatusCode: http.StatusNotFound}), true},
		{"it failed", statusError(PathCompletions, &http.Response{StatusCode: http.StatusInternalServerError}), false},
		{"it refused an order", statusError(PathServing, &http.Response{StatusCode: http.StatusPreconditionFailed}), false},
		{"the stream broke", &Error{Op: "read stream", Err: io.ErrUnexpectedEOF}, false},
		{"the context ended", &Error{Op: PathCompletions, Err: context.Canceled}, false},
		{"an input error says nothing", &ryeford.InputError{}, false},
	} {
		t.Run(test.rule, func(t *testing.T) {
			assert.Equal(t, NotRun(test.err), test.want)
		})
	}
}
