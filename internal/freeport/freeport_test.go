package freeport

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNext checks that picks differ, and that a port that is taken is passed over.
func TestNext(t *testing.T) {
	first, second := Next(), Next()
	assert.Assert(t, first != second)
	assert.Assert(t, isFree(first))
	listener, err := net.Listen("tcp", first.String())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	assert.Assert(t, !isFree(first))
}

// TestReserved checks that a port that another process has picked is passed over, though
// nothing listens on it yet.
func TestReserved(t *testing.T) {
	port := Next().Port()
	assert.Assert(t, isFree(loopback(port)))
	assert.Assert(t, !reserve(port))
}
