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
	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/settings"
	"github.com/ryeford/ryeford/standin/appserver"
	"github.com/ryeford/ryeford/standin/rowstore"
)

// conditionLimit ends a test whose condition never comes. It decides no verdict
// on speed.
const conditionLimit = 20 * time.Second

// A fixture is a gateway among stand-ins, on loopback. It takes the platform's names
// from platform/wire; tests that check a name spell it out.
type fixture struct {
	t         *testing.T
	store     *rowstore.Store
	endpoints map[string]*appserver.Server // by ID
	base      string                       // URL that callers connect to
	ready     string                       // URL that is probed
	client    *http.Client
	stop      context.CancelFunc // orders the gateway to stop
	done      chan error         // what Run returned
	log       *lockedBuffer
	requests  int // so many were made
	// storeCutOff makes the gateway's calls of the store fail; closeStoreConns ends
	// those under way.
	storeCutOff     atomic.Bool
	closeStoreConns func()
}

// newFixture starts a gateway. config is the operators' configuration, nil for none;
// change may change the gateway's settings.
func newFixture(t *testing.T, config *wire.Configuration, change func(*settings.Gateway)) *fixture {
	t.Helper()
	return newFixtureAt(t, rowstore.New(), config, change)
}

// newFixtureAt starts a gateway that shares its store with others.
func newFixtureAt(t *testing.T, store *rowstore.Store, config *wire.Configuration, change func(*settings.Gateway)) *fixture {
	t.Helper()
	f := &fixture{
		t:         t,
		store:     store,
		endpoints: make(map[string]*appserver.Server),
		client:    &http.Client{Transport: &http.Transport{DisableCompression: true}},
		done:      make(chan error, 1),
		log:       &lockedBuffer{},
	}
	storeServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.storeCutOff.Load() {
			panic(http.ErrAbortHandler)
		}
		f.store.ServeHTTP(w, r)
	}))
	f.closeStoreConns = storeServer.CloseClientConnections
	t.Cleanup(storeServer.Close)
	if config != nil {
		f.putConfiguration(config)
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

// awaitStopped waits until the gateway has stopped, and probes it meanwhile as the
// load balancer would: it goes on serving until probes have failed.
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

// cutOffStore cuts the gateway off from the store.
func (f *fixture) cutOffStore() {
	f.storeCutOff.Store(true)
	f.closeStoreConns()
}

// putConfiguration writes the operators' configuration.
func (f *fixture) putConfiguration(config *wire.Configuration) {
	f.t.Helper()
	_, err := f.store.PutJSON(wire.TableOperators, wire.KeyConfig, config)
	assert.NilError(f.t, err)
}

// addEndpoint starts an endpoint of a service and writes its row. It answers with so
// many events, or with a plain body if events is zero.
func (f *fixture) addEndpoint(service, id string, events int) *appserver.Server {
	f.t.Helper()
	server := &appserver.Server{ID: id, Events: events, Step: time.Millisecond}
	httpServer := httptest.NewServer(server)
	f.t.Cleanup(func() {
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	f.endpoints[id] = server
	f.putEndpoint(service, id, strings.TrimPrefix(httpServer.URL, "http://"), wire.StateReady)
	return server
}

// putEndpoint writes an endpoint's row.
func (f *fixture) putEndpoint(service, id, address, state string) {
	f.t.Helper()
	_, err := f.store.PutJSON(wire.TableEndpoints, id, wire.Endpoint{
		Service: service, Address: address, FailureDomain: "a", Slots: 64, State: state,
	})
	assert.NilError(f.t, err)
}

// setFaults makes every endpoint apply a fault to its next n requests, or to all if n
// is negative.
func (f *fixture) setFaults(fault appserver.Fault, n int) {
	for _, server := range f.endpoints {
		server.SetFault(fault, n)
	}
}

// await waits for a condition. what says what is missing if it never comes true.
func (f *fixture) await(what string, condition func() bool) {
	f.t.Helper()
	limit := time.Now().Add(conditionLimit)
	for !condition() {
		if time.Now().After(limit) {
			f.t.Fatal(what + " never came")
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitReady waits until a readiness probe succeeds, or until one fails.
func (f *fixture) awaitReady(want bool) {
	f.t.Helper()
	f.await(fmt.Sprintf("ready=%t", want), func() bool {
		response, err := http.Get(f.ready + platform.PathReady)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return (response.StatusCode == http.StatusOK) == want
	})
}

// awaitLog waits until the gateway's log contains a text.
func (f *fixture) awaitLog(text string) {
	f.t.Helper()
	f.await(text+" in the log", func() bool { return strings.Contains(f.log.String(), text) })
}

// awaitEndpoints waits until the gateway's list has n endpoints.
func (f *fixture) awaitEndpoints(n int) {
	f.t.Helper()
	f.awaitLog(fmt.Sprintf("known=%d", n))
}

// awaitStatus sends requests until one is answered with a status.
func (f *fixture) awaitStatus(status int, method, path string) {
	f.t.Helper()
	what := fmt.Sprintf("status %d of %s %s", status, method, path)
	f.await(what, func() bool { return f.call(method, path).status == status })
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

// request returns a request of a caller, with a key unless that is empty.
func (f *fixture) request(method, path, key, body string) *http.Request {
	f.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequest(method, f.base+path, reader)
	assert.NilError(f.t, err)
	f.requests++
	request.Host = testHost
	request.Header.Set(wire.HeaderRequestID, fmt.Sprintf("r%d", f.requests))
	request.Header.Set(wire.HeaderTimeout, "5000")
	if key != "" {
		request.Header.Set(wire.HeaderAuthorization, "Bearer "+key)
	}
	return request
}

// do sends a request and reads its answer.
func (f *fixture) do(request *http.Request) reply {
	f.t.Helper()
	id := request.Header.Get(wire.HeaderRequestID)
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

// runs returns how often a request has run at all endpoints together.
func (f *fixture) runs(id string) int {
	n := 0
	for _, server := range f.endpoints {
		n += server.Runs(id)
	}
	return n
}

// testHost is the host of all routes.
const testHost = "host.example"

// The kind of route whose requests run at most once. Any kind will do that is neither
// wire.KindIdempotent nor wire.KindStream.
const kindAtMostOnce = "unsafe"

// baseConfiguration returns a configuration with one route of each kind, named as its
// prefix. "hasty" allows only 200 ms; "open" needs no key.
func baseConfiguration() *wire.Configuration {
	route := func(name, kind, service string, maxAttempts int) wire.Route {
		return wire.Route{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, Service: service,
			TimeoutMs: 4000, GoalMs: 2000, Rank: 1, MaxAttempts: maxAttempts,
		}
	}
	hasty := route("hasty", kindAtMostOnce, "plain", 1)
	hasty.TimeoutMs = 200
	open := route("open", wire.KindIdempotent, "plain", 2)
	open.Public = true
	resume := route("resume", wire.KindStream, "model", 3)
	resume.Resumable = true
	rank := 3
	return &wire.Configuration{
		Version: 1,
		Routes: []wire.Route{
			route("once", kindAtMostOnce, "plain", 2),
			route("single", kindAtMostOnce, "plain", 1),
			route("safe", wire.KindIdempotent, "plain", 2),
			hasty,
			open,
			route("stream", wire.KindStream, "model", 1),
			resume,
		},
		Limits: wire.Limits{MaxBodyBytes: 65536, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Accounts: &[]wire.Account{
			{Name: "bank", Keys: []string{"key-1", "key-2"}, Rank: &rank},
			{Name: "church", Keys: []string{"key-3"}},
		},
	}
}

// keyRevoked returns version 2 of baseConfiguration, in which key-2 is the only key.
func keyRevoked() *wire.Configuration {
	config := baseConfiguration()
	config.Version = 2
	config.Accounts = &[]wire.Account{{Name: "bank", Keys: []string{"key-2"}}}
	return config
}

// startedFixture returns a fixture that is ready and knows its endpoints: p1 and p2 of
// service plain, m1 to m3 of service model.
func startedFixture(t *testing.T, change func(*settings.Gateway)) *fixture {
	t.Helper()
	f := newFixture(t, baseConfiguration(), change)
	for _, id := range []string{"p1", "p2"} {
		f.addEndpoint("plain", id, 0)
	}
	for _, id := range []string{"m1", "m2", "m3"} {
		f.addEndpoint("model", id, 5)
	}
	f.awaitReady(true)
	f.awaitEndpoints(5)
	return f
}

// events returns the whole stream of n events.
func events(n int) string {
	var b bytes.Buffer
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}
