package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway"
	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// conditionLimit ends a test whose condition never comes. It decides no verdict
// on speed.
const conditionLimit = 20 * time.Second

// jsonMap is a JSON object of the platform.
type jsonMap = map[string]any

// A fixture is a gateway among stand-ins, on loopback.
type fixture struct {
	t       *testing.T
	store   *rowstore.Store
	servers map[string]*appserver.Server
	base    string
	ready   string
	client  *http.Client
	stop    context.CancelFunc
	done    chan error
	log     *lockedBuffer
	next    int
	// cutOff lets the gateway's calls of the store fail; cut ends those that wait.
	cutOff atomic.Bool
	cut    func()
}

// newFixture starts a gateway. change may change its settings.
func newFixture(t *testing.T, config jsonMap, change func(*settings.Gateway)) *fixture {
	t.Helper()
	return newFixtureAt(t, rowstore.New(), config, change)
}

// newFixtureAt starts a gateway that shares its store with others.
func newFixtureAt(t *testing.T, store *rowstore.Store, config jsonMap, change func(*settings.Gateway)) *fixture {
	t.Helper()
	f := &fixture{
		t:       t,
		store:   store,
		servers: make(map[string]*appserver.Server),
		client:  &http.Client{Transport: &http.Transport{DisableCompression: true}},
		done:    make(chan error, 1),
		log:     &lockedBuffer{},
	}
	storeServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.cutOff.Load() {
			panic(http.ErrAbortHandler)
		}
		f.store.ServeHTTP(w, r)
	}))
	f.cut = storeServer.CloseClientConnections
	t.Cleanup(storeServer.Close)
	if config != nil {
		f.setConfig(config)
	}
	s := settings.DefaultGateway()
	s.VM, s.Region, s.FailureDomain = "router-1", "region", "a"
	s.Callers.AddrPort, s.Readiness.AddrPort = freeport.Next(), freeport.Next()
	s.Store.AddrPort = netip.MustParseAddrPort(strings.TrimPrefix(storeServer.URL, "http://"))
	s.Routing.EndpointsWait, s.Routing.EndpointsSettle = 100*time.Millisecond, 10*time.Millisecond
	s.Routing.StoreTimeout = 300 * time.Millisecond
	s.Routing.LeaseRefresh = 100 * time.Millisecond
	s.Routing.Routers = 1
	if change != nil {
		change(s)
	}
	f.base, f.ready = "http://"+s.Callers.String(), "http://"+s.Readiness.String()
	source := platform.NewStore(s.Store.AddrPort, s.Routing.StoreTimeout)
	g := gateway.New(s, gateway.Platform{
		Protocol:       platform.Protocol{},
		Configurations: source,
		Endpoints:      source,
		Routers:        source,
		ReadyPath:      platform.PathReady,
	}, log.NewLogfmtLogger(f.log), telemetry.NewSet())
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- g.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		f.client.CloseIdleConnections()
		f.awaitStopped()
		if t.Failed() {
			t.Log(f.log.String())
		}
	})
	return f
}

// awaitStopped probes readiness, as the balancer would, until the gateway has
// stopped.
func (f *fixture) awaitStopped() {
	for {
		select {
		case <-f.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if response, err := http.Get(f.ready + platform.PathReady); err == nil {
			_ = response.Body.Close()
		}
	}
}

// setConfig writes the operators' configuration.
func (f *fixture) setConfig(config jsonMap) {
	f.t.Helper()
	_, err := f.store.PutJSON("op", "config", config)
	assert.NilError(f.t, err)
}

// addServer starts a server of a service and enters it into the list.
func (f *fixture) addServer(service, id string, events int) *appserver.Server {
	f.t.Helper()
	server := &appserver.Server{ID: id, Events: events, Step: time.Millisecond}
	httpServer := httptest.NewServer(server)
	f.t.Cleanup(func() {
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	f.servers[id] = server
	f.enter(service, id, strings.TrimPrefix(httpServer.URL, "http://"), "ready")
	return server
}

// enter writes a server's entry.
func (f *fixture) enter(service, id, address, state string) {
	f.t.Helper()
	_, err := f.store.PutJSON("servers", id, jsonMap{
		"service": service, "address": address, "zone": "a", "slots": 64, "state": state,
	})
	assert.NilError(f.t, err)
}

// awaitReady waits until the gateway calls itself ready, or no longer.
func (f *fixture) awaitReady(want bool) {
	f.t.Helper()
	f.eventually(func() bool {
		response, err := http.Get(f.ready + platform.PathReady)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return (response.StatusCode == http.StatusOK) == want
	})
}

// eventually waits for a condition.
func (f *fixture) eventually(condition func() bool) {
	f.t.Helper()
	limit := time.Now().Add(conditionLimit)
	for !condition() {
		if time.Now().After(limit) {
			f.t.Fatal("the condition never came")
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// A reply is an answer as a caller got it.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	close  bool  // the connection ends after the response
	err    error // the body broke off
}

// request returns a caller's request.
func (f *fixture) request(method, path, key, body string) *http.Request {
	f.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequest(method, f.base+path, reader)
	assert.NilError(f.t, err)
	f.next++
	request.Host = "host.example"
	request.Header.Set("Ryeford-Request-Id", fmt.Sprintf("r%d", f.next))
	request.Header.Set("Ryeford-Deadline-Ms", "5000")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return request
}

// do sends a request and reads its answer.
func (f *fixture) do(request *http.Request) reply {
	f.t.Helper()
	id := request.Header.Get("Ryeford-Request-Id")
	response, err := f.client.Do(request)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{id: id, status: response.StatusCode, header: response.Header, body: string(body), close: response.Close, err: err}
}

// call sends a request with a valid key.
func (f *fixture) call(method, path string) reply {
	f.t.Helper()
	return f.do(f.request(method, path, "key-1", ""))
}

// runs returns how often a request has run on all servers together.
func (f *fixture) runs(id string) int {
	n := 0
	for _, server := range f.servers {
		n += server.Runs(id)
	}
	return n
}

// baseConfig returns a configuration with one route of each kind.
func baseConfig() jsonMap {
	route := func(name, kind, service string, attempts int, more jsonMap) jsonMap {
		result := jsonMap{
			"name": name, "host": "host.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": service,
			"timeoutMs": 4000, "goalMs": 2000, "priority": 1, "maxAttempts": attempts,
		}
		for key, value := range more {
			result[key] = value
		}
		return result
	}
	return jsonMap{
		"version": 1,
		"routes": []any{
			route("once", "unsafe", "plain", 2, nil),
			route("single", "unsafe", "plain", 1, nil),
			route("safe", "safe", "plain", 2, nil),
			route("hasty", "unsafe", "plain", 1, jsonMap{"timeoutMs": 200}),
			route("open", "safe", "plain", 2, jsonMap{"public": true}),
			route("stream", "streaming", "model", 1, nil),
			route("resume", "streaming", "model", 3, jsonMap{"resumable": true}),
		},
		"services": []any{jsonMap{"name": "plain"}, jsonMap{"name": "model", "engine": jsonMap{"slots": 64, "kvCapacity": 1000}}},
		"limits":   jsonMap{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			jsonMap{"name": "bank", "apiKeys": []any{"key-1", "key-2"}, "priority": 3},
			jsonMap{"name": "church", "apiKeys": []any{"key-3"}},
		},
	}
}

// withoutKey returns a later version of baseConfig without a key.
func withoutKey() jsonMap {
	config := baseConfig()
	config["version"] = 2
	config["tenants"] = []any{jsonMap{"name": "bank", "apiKeys": []any{"key-2"}}}
	return config
}

// startedFixture returns a ready fixture with two servers of each service.
func startedFixture(t *testing.T, change func(*settings.Gateway)) *fixture {
	t.Helper()
	f := newFixture(t, baseConfig(), change)
	for _, id := range []string{"p1", "p2"} {
		f.addServer("plain", id, 0)
	}
	for _, id := range []string{"m1", "m2", "m3"} {
		f.addServer("model", id, 5)
	}
	f.awaitReady(true)
	f.awaitServers(5)
	return f
}

// awaitServers waits until the gateway knows so many servers.
func (f *fixture) awaitServers(n int) {
	f.t.Helper()
	f.eventually(func() bool { return strings.Contains(f.log.String(), fmt.Sprintf("known=%d", n)) })
}

// setFaults lets all servers meet a fault on their next n requests each.
func (f *fixture) setFaults(fault appserver.Fault, n int) {
	for _, server := range f.servers {
		server.SetFault(fault, n)
	}
}

// events returns the whole stream of n events.
func events(n int) string {
	var b bytes.Buffer
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}
