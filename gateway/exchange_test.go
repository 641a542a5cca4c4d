package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/callermemory"
	"github.com/ryeford/ryeford/gateway/catalog"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/giveup"
	"github.com/ryeford/ryeford/gateway/overload"
	"github.com/ryeford/ryeford/gateway/quarantine"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/freeport"
	"github.com/ryeford/ryeford/internal/telemetry"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/platform/wire"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/standin/appserver"
	"github.com/ryeford/ryeford/standin/silentconn"
)

// An exchangeTest is the environment of an exchange: a keyed request of service s that has just
// arrived, with a timeout of four seconds, and the endpoints that the test lists.
type exchangeTest struct {
	t             testing.TB
	forwarder     *forwarder
	configuration *ryeford.Configuration
	request       *request
	retries       retry.WindowLimits
	log           testLog
}

// A testLog is a log buffer that is safe for concurrent use.
type testLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *testLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// String returns the logged text.
func (l *testLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Reset removes the logged text.
func (l *testLog) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Reset()
}

// newExchangeTest returns an exchangeTest without endpoints whose request may be sent.
func newExchangeTest(t testing.TB) *exchangeTest {
	e := &exchangeTest{t: t, retries: retry.WindowLimits{Length: time.Second, Reserve: 100}}
	e.configuration = &ryeford.Configuration{
		Version:  1,
		Accounts: []ryeford.AccountRule{{Account: "bank", Keys: []string{"key"}}},
		Routes: []ryeford.RouteRule{{
			Name: "keyed", Host: "host", Prefix: "/keyed/", Kind: ryeford.RouteIdempotent, MaxAttempts: 2,
			Timeout: 4 * time.Second, Split: []ryeford.WeightedService{{Service: "s", Weight: 1}},
		}},
	}
	balancer := newTestBalancer(time.Now())
	balancer.roster.Apply(time.Now(), &ryeford.EndpointUpdate{Snapshot: true, Revision: 1}, time.Time{})
	balancer.clock, balancer.startup = &freshness.SourceClock{}, &startup{}
	logger, metrics := log.NewLogfmtLogger(&e.log), telemetry.NewSet()
	e.forwarder = &forwarder{
		protocol:         platform.Protocol{},
		configuration:    newConfiguration(configurationOptions{term: time.Minute}),
		balancer:         balancer,
		pool:             endpoint.New(platform.Protocol{}),
		minBudgetRouters: 1,
		durations:        newDurations(),
		minResponseTimes: newMinResponseTimes(),
		refusals:         newRefusals(),
		overload:         overload.New(overload.Options{Limits: true, FairShares: true}),
		quarantine:       newQuarantineState(balancer, logger, metrics),
		callerMemory:     callermemory.New(1 << 20),
		log:              logger,
		metrics:          metrics,
	}
	e.forwarder.configuration.lease.RenewRead(time.Now(), time.Now(), 0)
	e.forwarder.configuration.inForce.Put(catalog.New(e.configuration))
	e.request = &request{
		meta:    &ryeford.RequestMeta{ID: "r1", Key: "key", Timeout: 4 * time.Second},
		arrived: time.Now(),
		catalog: e.forwarder.configuration.current(),
	}
	e.request.rule = e.request.catalog.Route("host", "/keyed/a")
	e.request.account = e.request.catalog.Account("key")
	e.request.setDeadline()
	e.request.setService()
	return e
}

// setEndpoints lists endpoints by their addresses. Their IDs are e1, e2 and so on.
func (e *exchangeTest) setEndpoints(addresses ...string) {
	update := &ryeford.EndpointUpdate{Snapshot: true, Revision: 2}
	for i, address := range addresses {
		update.Present = append(update.Present, ryeford.Endpoint{
			ID: ryeford.EndpointID("e" + strconv.Itoa(i+1)), Service: "s", Slots: 8, Address: netip.MustParseAddrPort(address),
		})
	}
	e.forwarder.roster.Apply(time.Now(), update, time.Time{})
}

func (e *exchangeTest) serve() *httptest.ResponseRecorder {
	return e.serveRequest(e.request)
}

// serveRequest returns the response to a request. It is safe for concurrent use.
func (e *exchangeTest) serveRequest(q *request) *httptest.ResponseRecorder {
	q.budget = retry.NewWindow(time.Now(), e.retries)
	r := httptest.NewRequest(http.MethodGet, "/keyed/a", nil)
	r.Host = "host"
	w := httptest.NewRecorder()
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	defer cancel()
	e.forwarder.newExchange(q, r, w).serve(ctx)
	return w
}

// sends returns how many attempts were started.
func (e *exchangeTest) sends() int { return strings.Count(e.log.String(), "decision=send ") }

// revokeKey applies a configuration that lacks the request's key.
func (e *exchangeTest) revokeKey() {
	next := *e.configuration
	next.Version, next.Accounts = 2, []ryeford.AccountRule{}
	e.forwarder.configuration.inForce.Put(catalog.New(&next))
}

// fillSlots makes the endpoints of the request's service report that all their slots are taken.
func (e *exchangeTest) fillSlots() {
	e.forwarder.overload.Begin("s")
	for range 9 {
		e.forwarder.overload.Report(time.Now(), "s", 8, &ryeford.EndpointLoad{Running: 8})
	}
}

// quarantine records that requests like this one ended three endpoints in a row.
func (e *exchangeTest) quarantine() {
	now := time.Now()
	for i := range 3 {
		began := now.Add(time.Duration(i-5) * time.Second)
		same := &quarantine.Subject{Fingerprints: []quarantine.Fingerprint{quarantine.FingerprintOf("bank", "/keyed/a", nil)}}
		e.forwarder.quarantine.table.RecordCrash(now, same,
			quarantine.Crash{Endpoint: uint32(i), Began: began, Ended: began.Add(time.Second / 2)})
	}
}

// removeRoute applies a configuration that lacks the request's route.
func (e *exchangeTest) removeRoute() {
	next := *e.configuration
	next.Version, next.Routes = 2, nil
	e.forwarder.configuration.inForce.Put(catalog.New(&next))
}

// startEndpoint starts an endpoint and returns its address. It calls change before each response.
func startEndpoint(t testing.TB, server *appserver.Server, change func()) string {
	httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		change()
		server.ServeHTTP(w, r)
	}))
	t.Cleanup(httpServer.Close)
	return strings.TrimPrefix(httpServer.URL, "http://")
}

// TestUnservable checks that a request that can't be served any more is answered immediately, is not
// sent, and gets a response that states that it has not run.
func TestUnservable(t *testing.T) {
	for _, row := range []struct {
		name     string
		change   func(*exchangeTest)
		status   int
		reason   string
		mayRetry bool // the caller may retry
	}{
		{"the deadline has passed", func(e *exchangeTest) { e.request.deadline = time.Now().Add(-time.Millisecond) }, 503, "deadline", true},
		{"its caller's deadline has passed too", func(e *exchangeTest) {
			e.request.arrived = time.Now().Add(-time.Minute)
			e.request.deadline = time.Now().Add(-time.Millisecond)
		}, 503, "deadline", false},
		{"less time is left than the fastest response took", func(e *exchangeTest) { e.forwarder.minResponseTimes.add(time.Now(), "s", time.Hour) }, 503, "deadline", true},
		{"the key was revoked while it waited", (*exchangeTest).revokeKey, 401, "key_taken", false},
		{"the route was removed while it waited", (*exchangeTest).removeRoute, 404, "route_removed", false},
		{"the configuration went stale while it waited", func(e *exchangeTest) {
			e.forwarder.configuration = newConfiguration(configurationOptions{})
			e.forwarder.configuration.inForce.Put(e.request.catalog)
		}, 503, "stale_configuration", true},
		{"the service is full", (*exchangeTest).fillSlots, 503, "overload", true},
		{"the service is full, and the key was revoked: the final refusal wins", func(e *exchangeTest) {
			e.fillSlots()
			e.revokeKey()
		}, 401, "key_taken", false},
		{"no endpoint is listed", func(e *exchangeTest) { e.setEndpoints() }, 503, "no_candidate", true},
		{"the request is quarantined", (*exchangeTest).quarantine, 503, "quarantined", true},
		{"the request is quarantined, and the key was revoked: the final refusal wins", func(e *exchangeTest) {
			e.quarantine()
			e.revokeKey()
		}, 401, "key_taken", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			e := newExchangeTest(t)
			e.setEndpoints(startEndpoint(t, &appserver.Server{ID: "e1"}, func() {}))
			row.change(e)
			w := e.serve()
			assert.Equal(t, w.Code, row.status)
			assert.Equal(t, w.Header().Get("Retry-After") != "", row.mayRetry)
			assert.Equal(t, e.sends(), 0)
			assert.Assert(t, strings.Contains(e.log.String(), "reason="+row.reason+" "), e.log.String())
		})
	}
}

// TestQuarantinedAnswer checks the response to a held request: Retry-After is the time until requests
// like it are tried again, clients are asked not to retry automatically, 503 is not sent once an
// attempt was made, and the refusal doesn't affect the Retry-After of other requests.
func TestQuarantinedAnswer(t *testing.T) {
	e := newExchangeTest(t)
	e.setEndpoints(startEndpoint(t, &appserver.Server{ID: "e1"}, func() {}))
	e.quarantine()
	w := e.serve()
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, w.Header().Get("X-Should-Retry"), "false")
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds > 590 && seconds < 600, "%v", seconds)
	assert.Equal(t, e.forwarder.refusals.get(time.Now(), "s"), giveup.RecentCounts{})

	e = newExchangeTest(t)
	server := &appserver.Server{ID: "e1"}
	server.SetFault(appserver.FaultReset, -1)
	e.setEndpoints(startEndpoint(t, server, e.quarantine), startEndpoint(t, &appserver.Server{ID: "e2"}, e.quarantine))
	e.forwarder.roster.Apply(time.Now(), &ryeford.EndpointUpdate{Revision: 3, Removed: []ryeford.EndpointID{"e2"}}, time.Time{})
	w = e.serve()
	assert.Equal(t, w.Code, 502)
	assert.Equal(t, w.Header().Get("X-Should-Retry"), "false")
	assert.Equal(t, e.sends(), 1)
}

// TestUnservableBetweenAttempts checks that a request is not retried if its key is revoked or its
// route is removed during an attempt that an endpoint refuses.
func TestUnservableBetweenAttempts(t *testing.T) {
	for name, row := range map[string]struct {
		change func(*exchangeTest)
		status int
	}{
		"key":   {(*exchangeTest).revokeKey, 401},
		"route": {(*exchangeTest).removeRoute, 404},
	} {
		t.Run(name, func(t *testing.T) {
			e := newExchangeTest(t)
			var addresses []string
			for i := range 2 {
				server := &appserver.Server{ID: fmt.Sprintf("e%d", i+1)}
				server.SetFault(appserver.FaultShed, -1)
				addresses = append(addresses, startEndpoint(t, server, func() { row.change(e) }))
			}
			e.setEndpoints(addresses...)
			assert.Equal(t, e.serve().Code, row.status)
			assert.Equal(t, e.sends(), 1)
		})
	}
}

// TestUnusableEndpoints checks that a request tries all unreachable endpoints only if they are not
// ejected yet. Otherwise one attempt is made, and the Retry-After does not end before the first
// ejection does.
func TestUnusableEndpoints(t *testing.T) {
	e := newExchangeTest(t)
	e.setEndpoints(freeport.Next().String(), freeport.Next().String(), freeport.Next().String())
	assert.Equal(t, e.serve().Code, 503)
	assert.Equal(t, e.sends(), 3, "no endpoint is ejected yet")
	e.log.Reset()
	e.request.meta.Timeout = time.Minute
	w := e.serve()
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, e.sends(), 1, "all endpoints are ejected")
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	ejected := e.forwarder.unavailableFor(time.Now(), "s")
	assert.Assert(t, time.Duration(seconds*float64(time.Second)) >= ejected-time.Millisecond, "%v, ejected for %v", seconds, ejected)
}

// TestUnlistedEndpoints checks that the Retry-After is longer if no endpoint of the service is
// listed than if a listed one refused the request.
func TestUnlistedEndpoints(t *testing.T) {
	full := &appserver.Server{ID: "e1"}
	full.SetFault(appserver.FaultShed, -1)
	for name, row := range map[string]struct {
		addresses []string
		earliest  time.Duration
	}{
		"none is listed": {nil, time.Second},
		"one refuses":    {[]string{startEndpoint(t, full, func() {})}, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e := newExchangeTest(t)
			e.setEndpoints(row.addresses...)
			e.request.meta.Timeout = 10 * time.Second // keeps the Retry-After ranges apart: 0.15 to 0.72 s, and from 1 s
			w := e.serve()
			assert.Equal(t, w.Code, 503)
			seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			assert.NilError(t, err)
			retryAfter := time.Duration(seconds * float64(time.Second))
			assert.Assert(t, retryAfter >= row.earliest, "%v", retryAfter)
			assert.Assert(t, row.earliest == time.Second || retryAfter < time.Second, "%v", retryAfter)
		})
	}
}

// TestPerTryTimeoutWithoutBudget checks that the per-try timeout ends no attempt if the retry
// budget allows no retry: the late response is the only one that can arrive.
func TestPerTryTimeoutWithoutBudget(t *testing.T) {
	for name, row := range map[string]struct {
		reserve float64
		runs    int // attempts at both endpoints together
	}{
		"without budget": {0, 1},
		"with budget":    {100, 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := newExchangeTest(t)
			e.retries.Reserve = row.reserve
			e.request.rule.Goal = 20 * time.Millisecond
			servers := []*appserver.Server{{ID: "e1"}, {ID: "e2"}}
			var addresses []string
			for _, server := range servers {
				addresses = append(addresses, startEndpoint(t, server, func() { time.Sleep(300 * time.Millisecond) }))
			}
			e.setEndpoints(addresses...)
			w := e.serve()
			assert.Equal(t, w.Code, 200)
			assert.Equal(t, e.sends(), row.runs)
			assert.Equal(t, w.Header().Get(wire.HeaderRequestID), "r1")
		})
	}
}

// TestIsFull checks when an endpoint that refuses a request counts as full. It does not if its
// number of slots is unknown.
func TestIsFull(t *testing.T) {
	for _, row := range []struct {
		slots int
		load  *ryeford.EndpointLoad
		local int // this router's requests at the endpoint
		want  bool
	}{
		{8, &ryeford.EndpointLoad{Running: 6, Waiting: 2}, 0, true},
		{8, &ryeford.EndpointLoad{Running: 6, Waiting: 1}, 9, false},
		{8, nil, 8, true},
		{8, nil, 7, false},
		{0, &ryeford.EndpointLoad{Running: 6, Waiting: 2}, 9, false},
		{0, nil, 9, false},
	} {
		e := newExchangeTest(t)
		to := &roster.Entry{Endpoint: ryeford.Endpoint{ID: "e1", Slots: row.slots}}
		for range row.local {
			e.forwarder.loads.Begin("e1", "plain")
		}
		x := &exchange{forwarder: e.forwarder}
		response := &endpoint.Response{Meta: ryeford.ResponseMeta{Report: ryeford.EndpointReport{Load: row.load}}}
		assert.Equal(t, x.isFull(to, response), row.want, "%+v", row)
	}
}

// TestDeadConnections checks that if all open connections to an endpoint are dead without a reset,
// only one request times out, and not one for each idle connection.
func TestDeadConnections(t *testing.T) {
	const idle = 4
	e := newExchangeTest(t)
	server := &appserver.Server{ID: "e1"}
	httpServer := httptest.NewServer(silentconn.New(server, idle))
	t.Cleanup(httpServer.Close)
	e.setEndpoints(httpServer.Listener.Addr().String())
	send := func() int {
		q := *e.request
		q.arrived = time.Now()
		q.deadline = q.arrived.Add(300 * time.Millisecond)
		return e.serveRequest(&q).Code
	}
	var group sync.WaitGroup
	for range idle {
		group.Go(func() { assert.Check(t, send() == http.StatusOK) })
	}
	group.Wait()
	assert.Equal(t, send(), http.StatusGatewayTimeout, "the connection is dead")
	for range idle {
		assert.Equal(t, send(), http.StatusOK)
	}
}
