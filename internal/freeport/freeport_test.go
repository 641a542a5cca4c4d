package freeport

import (
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNext checks that picks differ, and that a port in use is not free.
func TestNext(t *testing.T) {
	first, second := Next(), Next()
	assert.Assert(t, first != second)
	assert.Assert(t, isFree(first))
	listener, err := net.Listen("tcp", first.String())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	assert.Assert(t, !isFree(first))
}

// TestReserved checks that a picked port can't be reserved again while nothing listens on it.
func TestReserved(t *testing.T) {
	port := Next().Port()
	assert.Assert(t, isFree(loopback(port)))
	assert.Assert(t, !reserve(port))
}

// TestNextStaysClosed checks that servers on ports chosen by the kernel don't get a picked
// port: tests use an unused one as an address that refuses connections. It fails for ports of
// the kernel's ephemeral range.
func TestNextStaysClosed(t *testing.T) {
	const picks, servers = 100, 2000
	var picked []netip.AddrPort
	for range picks {
		picked = append(picked, Next())
	}
	for range servers {
		server, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = server.Close() }()
	}
	for _, address := range picked {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			_ = conn.Close()
			t.Errorf("%s accepts connections", address)
		}
	}
}
