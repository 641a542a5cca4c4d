package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A call is one request of a caller, with its outcome.
type call struct {
	id            string
	route         string
	probedVersion int  // the configuration version whose probe route it requests, or 0
	gateway       int  // index in the fleet
	incarnation   int  // of the gateway during the whole call; 0 if it changed
	secondKey     bool // sent with the key of the second client account
	sent          time.Time
	written       time.Time // when the request was sent completely; zero if it was not
	ended         time.Time
	status        int    // 0 if no response arrived
	server        string // the server that responded; empty if the gateway did
	leaving       bool   // the response reports that the server is leaving
	body          string
	connClosed    bool  // the response announces that the connection is closed
	err           error // no response arrived, or it was truncated
}

// served reports whether the call got a complete response with status 200.
func (c *call) served() bool { return c.status == http.StatusOK && c.err == nil }

// idempotent reports whether the call's route is idempotent. Probe routes are.
func (c *call) idempotent() bool { return c.route == routeSafe || c.probedVersion > 0 }

// callers send requests until they are stopped, and record each call.
type callers struct {
	fleet         *fleet
	plan          *plan
	newestVersion func() int // returns the newest version of the configuration
	seed          uint64
	stop          chan struct{}
	group         sync.WaitGroup

	mu    sync.Mutex
	calls []call
}

const (
	callerCount = 8
	// callTimeout is how long a caller waits for a call to end. It is also the deadline
	// that the request states.
	callTimeout = 4 * time.Second
)

// A callerProfile describes how a caller uses its connections.
type callerProfile struct {
	// maxPause is the longest pause between two calls.
	maxPause time.Duration
	// sticky makes the caller keep its gateway until the connection is closed.
	sticky bool
	// reconnects makes the caller open a connection for each call.
	reconnects bool
}

// startCallers starts callerCount callers.
func startCallers(f *fleet, p *plan, in *injector, seed uint64) *callers {
	c := &callers{fleet: f, plan: p, newestVersion: in.newestVersion, seed: seed, stop: make(chan struct{})}
	for i := range callerCount {
		c.group.Go(func() { c.run(i) })
	}
	return c
}

// run runs one caller until the callers are stopped.
func (c *callers) run(number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(number)))
	profile := c.plan.profiles[number%len(c.plan.profiles)]
	client := &http.Client{
		Timeout:   callTimeout + c.plan.responseMargin,
		Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: profile.reconnects},
	}
	defer client.CloseIdleConnections()
	last := call{connClosed: true}
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(profile.maxPause)))):
		}
		next := call{
			id:        fmt.Sprintf("s%d-c%d-%d", c.seed, number, n),
			route:     routes[random.IntN(len(routes))],
			gateway:   c.pickGateway(random),
			secondKey: random.IntN(2) == 0,
		}
		if c.plan.initial.HasProbeRoute {
			c.probeVersion(random, &next)
		}
		if profile.sticky && !last.connClosed && last.err == nil {
			next.gateway = last.gateway
		}
		incarnation := c.fleet.gateways[next.gateway].currentIncarnation()
		c.fleet.send(client, &next)
		if c.fleet.gateways[next.gateway].currentIncarnation() == incarnation {
			next.incarnation = incarnation
		}
		last = next
		c.mu.Lock()
		c.calls = append(c.calls, next)
		c.mu.Unlock()
	}
}

// callsPerProbe is the average number of calls per call to a probe route.
const callsPerProbe = 4

// probeVersion turns one in callsPerProbe calls into a request for the probe route of the
// newest version or, with an even chance, of the version before it.
func (c *callers) probeVersion(random *rand.Rand, next *call) {
	if random.IntN(callsPerProbe) > 0 {
		return
	}
	next.probedVersion = max(1, c.newestVersion()-random.IntN(2))
	next.route = probeRoute(next.probedVersion)
	next.secondKey = false
}

// pickGateway picks a gateway as the load balancer does: a ready one, or any gateway if
// none is ready or, for plans with halfReady, if fewer than half are.
func (c *callers) pickGateway(random *rand.Rand) int {
	start := random.IntN(len(c.fleet.gateways))
	if c.plan.halfReady && 2*c.fleet.readyGateways() < len(c.fleet.gateways) {
		return start
	}
	for i := range c.fleet.gateways {
		number := (start + i) % len(c.fleet.gateways)
		if c.fleet.gateways[number].isReady() {
			return number
		}
	}
	return start
}

// send sends one request and records its response in the call. It uses POST, which net/http
// retries only if nothing was sent.
func (f *fleet) send(client *http.Client, c *call) {
	url := "http://" + f.gateways[c.gateway].callers + "/" + c.route + "/" + c.id
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body of "+c.id))
	if err != nil {
		c.err = err
		return
	}
	request.Host = host
	request.Header.Set("Ryeford-Request-Id", c.id)
	request.Header.Set("Ryeford-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	key := firstKey
	if c.secondKey {
		key = secondKey
	}
	request.Header.Set("Authorization", "Bearer "+key)
	var written atomic.Pointer[time.Time] // net/http may call the trace after the response
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			written.Store(&now)
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	c.sent = time.Now()
	defer func() {
		c.ended = time.Now()
		if at := written.Load(); at != nil {
			c.written = *at
		}
	}()
	response, err := client.Do(request)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.status, c.connClosed = response.StatusCode, response.Close
	c.server = response.Header.Get("Ryeford-Instance-Id")
	c.leaving = response.Header.Get("Server-Leaving") == "1"
	body, err := io.ReadAll(response.Body)
	c.body, c.err = string(body), err
}

// finish stops the callers and returns all calls.
func (c *callers) finish() []call {
	close(c.stop)
	c.group.Wait()
	return c.calls
}
