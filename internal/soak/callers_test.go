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

// A call is one request of a caller, and what came of it.
type call struct {
	id            string
	route         string
	probedVersion int  // the version whose own route it asks for, or zero
	gateway       int  // its index in the fleet
	incarnation   int  // of the gateway, during the whole call; zero if it changed
	secondKey     bool // with the second client account's key
	sent          time.Time
	written       time.Time // when it was sent whole; zero if it was not
	ended         time.Time
	status        int    // 0 if no answer came
	server        string // that gave the answer; empty if the gateway did
	leaving       bool   // the answer says that the server leaves
	body          string
	closes        bool  // the answer says that the connection is closed
	err           error // the answer broke off, or none came
}

// served reports whether the call got an answer with status 200 that looks whole.
func (c *call) served() bool { return c.status == http.StatusOK && c.err == nil }

// idempotent reports whether the call's route is: the own route of a version is, too.
func (c *call) idempotent() bool { return c.route == routeSafe || c.probedVersion > 0 }

// callers send requests until they are stopped, and record each call.
type callers struct {
	fleet         *fleet
	plan          *plan
	newestVersion func() int // the newest version of the configuration
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

// A habit is how a caller uses its connections.
type callerProfile struct {
	// pause bounds the time between two calls.
	maxPause time.Duration
	// stays says that it stays with its gateway until its connection is closed, and
	// chooses the next one only then.
	sticky bool
	// reconnects says that it opens a connection for each call.
	reconnects bool
}

// startCallers starts callers.
func startCallers(f *fleet, p *plan, in *injector, seed uint64) *callers {
	c := &callers{fleet: f, plan: p, newestVersion: in.newestVersion, seed: seed, stop: make(chan struct{})}
	for i := range callerCount {
		c.group.Go(func() { c.run(i) })
	}
	return c
}

// run is one caller. It keeps its connections, and uses them until they are closed,
// unless it has another habit.
func (c *callers) run(number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(number)))
	profile := c.plan.profiles[number%len(c.plan.profiles)]
	client := &http.Client{
		Timeout:   callTimeout + c.plan.responseMargin,
		Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: profile.reconnects},
	}
	defer client.CloseIdleConnections()
	last := call{closes: true}
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
		if profile.sticky && !last.closes && last.err == nil {
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

// callsPerProbe is one in how many calls that asks for the own route of a version.
const callsPerProbe = 4

// probe makes a call one that asks for the own route of the newest version or, in half
// of the cases, of the one before.
func (c *callers) probeVersion(random *rand.Rand, next *call) {
	if random.IntN(callsPerProbe) > 0 {
		return
	}
	next.probedVersion = max(1, c.newestVersion()-random.IntN(2))
	next.route = probeRoute(next.probedVersion)
	next.secondKey = false
}

// pick picks a gateway as the load balancer does: one that is ready, or any if none is
// or, for some plans, if fewer than half are.
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

// send sends one request and records its answer in the call. It has a method that
// net/http repeats only if nothing was sent.
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
	var written atomic.Pointer[time.Time] // net/http may call the trace after the answer
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
	c.status, c.closes = response.StatusCode, response.Close
	c.server = response.Header.Get("Ryeford-Instance-Id")
	c.leaving = response.Header.Get("Server-Leaving") == "1"
	body, err := io.ReadAll(response.Body)
	c.body, c.err = string(body), err
}

// finish stops the callers and returns their calls.
func (c *callers) finish() []call {
	close(c.stop)
	c.group.Wait()
	return c.calls
}
