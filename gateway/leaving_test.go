package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/standin/appserver"
)

// A blockedEndpoint is an endpoint that answers no request until it is released.
type blockedEndpoint struct {
	server   appserver.Server
	received atomic.Int64
	aborted  atomic.Int64 // requests whose connection was closed first
	release  chan struct{}
}

// ServeHTTP implements http.Handler.
func (e *blockedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.received.Add(1)
	select {
	case <-e.release:
		e.server.ServeHTTP(w, r)
	case <-r.Context().Done():
		e.aborted.Add(1)
	}
}

// addBlockedEndpoint starts a blockedEndpoint, writes its entry, and returns it with its address.
func (f *fixture) addBlockedEndpoint(service, id string) (*blockedEndpoint, string) {
	f.t.Helper()
	e := &blockedEndpoint{server: appserver.Server{ID: id}, release: make(chan struct{})}
	server := httptest.NewServer(e)
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	address := strings.TrimPrefix(server.URL, "http://")
	f.putEndpoint(service, id, address, wire.StateReady)
	return e, address
}

// longTimeout is a timeout that no test reaches.
const longTimeout = 2 * conditionTimeout

// longTimeoutConfiguration returns baseConfiguration with longTimeout on each route.
func longTimeoutConfiguration() *wire.Configuration {
	config := baseConfiguration()
	for i := range config.Routes {
		config.Routes[i].TimeoutMs = float64(longTimeout.Milliseconds())
	}
	return config
}

// TestLeavingFinishesRequests checks that a request in progress is not aborted when its endpoint
// leaves, even after the endpoint's state is removed, and that the endpoint gets no other requests;
// whether it drains first or only its entry is removed.
func TestLeavingFinishesRequests(t *testing.T) {
	for name, leave := range map[string]func(f *fixture, address string){
		"its entry is removed": func(f *fixture, _ string) {
			f.store.Remove(wire.TableEndpoints, "held")
			f.awaitLog("departed=held")
		},
		"it drains": func(f *fixture, address string) {
			f.putEndpoint("plain", "held", address, wire.StateDraining)
			f.awaitLog("draining=held")
		},
		"it drains, and its entry is removed": func(f *fixture, address string) {
			f.putEndpoint("plain", "held", address, wire.StateDraining)
			f.awaitLog("draining=held")
			f.store.Remove(wire.TableEndpoints, "held")
			f.awaitLog("dropped=held")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, longTimeoutConfiguration(), nil)
			blocked, address := f.addBlockedEndpoint("plain", "held")
			f.awaitReady(true)
			f.awaitEndpoints(1)
			answered := make(chan reply, 1)
			request := f.request("POST", "/once/a", "key-1", "")
			request.Header.Set(wire.HeaderTimeout, strconv.FormatInt(longTimeout.Milliseconds(), 10))
			go func() { answered <- f.do(request) }()
			f.await("the request at the endpoint", func() bool { return blocked.received.Load() == 1 })
			f.addEndpoint("plain", "p2", 0)
			f.awaitEndpoints(2)

			leave(f, address)
			for range 8 {
				assert.Equal(t, f.call("POST", "/once/b").status, 200)
			}
			if name == "its entry is removed" {
				f.awaitLog("expired=held")
			}
			assert.Equal(t, blocked.received.Load(), int64(1))
			assert.Equal(t, blocked.aborted.Load(), int64(0))
			close(blocked.release)
			assert.Equal(t, (<-answered).status, 200)
		})
	}
}

// TestCrashedEndpoint checks that requests are served by other endpoints while an endpoint that
// crashed is still on the list.
func TestCrashedEndpoint(t *testing.T) {
	f := startedFixture(t, nil)
	f.putEndpoint("plain", "p3", "127.0.0.1:1", wire.StateReady) // refuses connections
	f.awaitLog("added=p3")
	for range 16 {
		assert.Equal(t, f.call("POST", "/once/a").status, 200)
	}
	f.awaitLog("outcome=unsent")
	assert.Assert(t, !strings.Contains(f.log.String(), "departed=p3"))
}
