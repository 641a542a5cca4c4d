package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
)

// A scriptedEndpoint is an endpoint that responds with bytes of the test's choice.
type scriptedEndpoint struct {
	requests atomic.Int64 // number of requests that it has received
	// respond writes the response to a request. It returns once the endpoint is to read the next request, or false to
	// close the connection.
	respond func(conn net.Conn, id string) bool
}

// addScripted starts a scripted endpoint of a service and writes its entry.
func (f *fixture) addScripted(service, id string, respond func(conn net.Conn, id string) bool) *scriptedEndpoint {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	e := &scriptedEndpoint{respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	f.putEndpoint(service, id, listener.Addr().String(), wire.StateReady)
	return e
}

func (e *scriptedEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		e.requests.Add(1)
		if !e.respond(conn, request.Header.Get(wire.HeaderRequestID)) {
			return
		}
	}
}

// respondWith returns a function that responds with a text, in which ID stands for that of the request, and leaves the
// connection open.
func respondWith(text string) func(conn net.Conn, id string) bool {
	return func(conn net.Conn, id string) bool {
		_, err := io.WriteString(conn, strings.ReplaceAll(text, "ID", id))
		return err == nil
	}
}

// startScripted starts a gateway with one scripted endpoint of service plain, and a sound one if there is to be another.
func startScripted(t *testing.T, sound bool, respond func(conn net.Conn, id string) bool) (*fixture, *scriptedEndpoint) {
	t.Helper()
	f := newFixture(t, baseConfiguration(), nil)
	scripted := f.addScripted("plain", "scripted", respond)
	f.awaitReady(true)
	f.awaitEndpoints(1)
	if sound {
		f.addEndpoint("plain", "sound", 0)
		f.awaitEndpoints(2)
	}
	return f, scripted
}
