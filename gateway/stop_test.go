package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
)

// TestStop checks that a gateway fails its readiness probe right after the shutdown signal, keeps
// serving open connections, and aborts no response.
func TestStop(t *testing.T) {
	f := startedFixture(t, nil)
	for _, id := range []string{"m1", "m2", "m3"} {
		f.endpoints[id].Step = 100 * time.Millisecond
	}
	request := f.request("POST", "/stream/a", "key-1", "")
	response, err := f.client.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	assert.NilError(t, err)
	f.stop()
	f.awaitReady(false)
	got := f.call("POST", "/once/a")
	assert.Equal(t, got.status, 200)
	assert.Assert(t, got.close)
	remainder, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Equal(t, first+string(remainder), events(5))
}

// TestStopWhileConnecting checks that a gateway accepts new connections after the shutdown signal for
// as long as callers connect, and rejects requests that it could not complete.
func TestStopWhileConnecting(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Grace = 4 * time.Second })
	f.client.Transport.(*http.Transport).DisableKeepAlives = true
	f.stop()
	f.awaitReady(false)
	f.awaitReady(false)
	// Two probes have failed. A gateway that accepted no more connections would close its listener
	// half a second later.
	since, last := time.Now(), time.Duration(0)
	for time.Since(since) < 1500*time.Millisecond {
		last = time.Since(since)
		got := f.call("GET", "/safe/a")
		assert.NilError(t, got.err, "a request sent after %s", last)
		assert.Equal(t, got.status, 200, "a request sent after %s", last)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, last > time.Second, "no request was sent after the first second")
	refused := false
	f.await("a rejection", func() bool {
		got := f.call("POST", "/stream/a")
		refused = refused || (got.err == nil && got.status == 503 && got.header.Get("Retry-After") != "")
		return refused || got.err != nil
	})
	assert.Assert(t, refused)
}

// TestStreamDuringStop checks that a gateway does not accept a stream late in its shutdown that it
// would have to abort, even if earlier streams were short.
func TestStreamDuringStop(t *testing.T) {
	f := newFixture(t, longStreamConfiguration(), func(s *settings.Gateway) { s.Bounds.Grace = 8 * time.Second })
	server := f.addEndpoint("model", "m1", 5)
	f.addEndpoint("plain", "p1", 0)
	f.awaitReady(true)
	f.awaitEndpoints(2)
	for range 10 {
		assert.Equal(t, f.call("POST", "/stream/a").body, events(5))
	}
	// The connection stays open, as a caller's would.
	server.Step = time.Second
	f.stop()
	time.Sleep(3 * time.Second)
	assert.Equal(t, f.call("POST", "/once/a").status, http.StatusOK, "a request that is expected to complete is served")
	got := f.call("POST", "/stream/a")
	switch got.status {
	case http.StatusOK:
		assert.NilError(t, got.err, "accepted and aborted")
		assert.Equal(t, got.body, events(5))
	case http.StatusServiceUnavailable:
		assert.Assert(t, got.header.Get("Retry-After") != "")
	default:
		// The gateway closed the connection before it had read the request.
		assert.Equal(t, len(server.Received()), 10, "accepted and not answered: %v", got.err)
	}
}

// TestUnansweredAtStop checks that a request that is unanswered when a gateway must close its
// connections gets an error response that does not state that the request was not run.
func TestUnansweredAtStop(t *testing.T) {
	f := startedFixture(t, func(s *settings.Gateway) { s.Bounds.Grace = 2 * time.Second })
	f.setFaults(appserver.FaultHang, -1)
	got := make(chan reply, 1)
	request := f.request("POST", "/once/a", "key-1", "")
	go func() { got <- f.do(request) }()
	f.await("the request at an endpoint", func() bool { return len(f.endpoints["p1"].Received())+len(f.endpoints["p2"].Received()) > 0 })
	f.stop()
	answer := <-got
	assert.NilError(t, answer.err)
	assert.Equal(t, answer.status, http.StatusBadGateway)
}

// longStreamConfiguration returns baseConfiguration with streams that may take 15 s.
func longStreamConfiguration() *wire.Configuration {
	config := baseConfiguration()
	for i := range config.Routes {
		if config.Routes[i].Kind == wire.KindStream {
			config.Routes[i].TimeoutMs = 15000
		}
	}
	return config
}
