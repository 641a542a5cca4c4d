package endpoint

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
)

// TestRefusesConnections checks that a port counts as refused only while nothing listens
// there.
func TestRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	assert.Assert(t, !RefusesConnections(t.Context(), address))
	assert.NilError(t, listener.Close())
	assert.Assert(t, RefusesConnections(t.Context(), address))
}

// TestConnectionBroken checks which errors mean that the endpoint closed or reset the
// connection.
func TestConnectionBroken(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	for _, test := range []struct {
		name string
		err  error
		want bool
	}{
		{"closed before a response", &LostError{Err: io.EOF}, true},
		{"closed during a response", &LostError{Err: io.ErrUnexpectedEOF}, true},
		{"reset", &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineLost, Err: reset}, true},
		{"no response in time", &LostError{Err: os.ErrDeadlineExceeded}, false},
		{"unusable", &LostError{Err: &UnusableResponseError{Problem: "it lacks this request's ID"}}, false},
		{"an error response of the endpoint", &ryeford.MayHaveRunError{Reason: ryeford.ReasonEngineError, Err: errors.New("status 500")}, false},
		{"none", nil, false},
	} {
		assert.Equal(t, ConnectionBroken(test.err), test.want, test.name)
	}
}
