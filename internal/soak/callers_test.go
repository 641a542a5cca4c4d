package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A call is one request of a caller, and what came of it.
type call struct {
	id        string
	route     string
	gateway   int  // its index in the fleet
	secondKey bool // with the second client account's key
	sent      time.Time
	ended     time.Time
	status    int // 0 if no answer came
	body      string
	err       error // the answer broke off, or none came
}

// served reports whether the call got an answer with status 200 that looks whole.
func (c *call) served() bool { return c.status == http.StatusOK && c.err == nil }

// callers send requests until they are stopped, and record each call.
type callers struct {
	fleet *fleet
	seed  uint64
	stop  chan struct{}
	group sync.WaitGroup

	mu    sync.Mutex
	calls []call
}

const (
	callerCount = 8
	// callPause is the mean time between two calls of a caller.
	callPause = 15 * time.Millisecond
	// callTime is how long a caller waits for a call to end. It is also the deadline
	// that the request states.
	callTime = 4 * time.Second
)

// newCallers starts callers.
func newCallers(f *fleet, seed uint64) *callers {
	c := &callers{fleet: f, seed: seed, stop: make(chan struct{})}
	for i := range callerCount {
		c.group.Go(func() { c.run(i) })
	}
	return c
}

// run is one caller. It keeps its connections, and uses them until they are closed.
func (c *callers) run(number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(number)))
	client := &http.Client{Timeout: callTime, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(2 * callPause)))):
		}
		one := call{
			id:        fmt.Sprintf("s%d-c%d-%d", c.seed, number, n),
			route:     routes[random.IntN(len(routes))],
			gateway:   c.pick(random),
			secondKey: random.IntN(2) == 0,
		}
		c.fleet.send(client, &one)
		c.mu.Lock()
		c.calls = append(c.calls, one)
		c.mu.Unlock()
	}
}

// pick picks a gateway as the load balancer does: one that is ready, or any if none is.
func (c *callers) pick(random *rand.Rand) int {
	start := random.IntN(len(c.fleet.gateways))
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
func (f *fleet) send(client *http.Client, one *call) {
	url := "http://" + f.gateways[one.gateway].callers + "/" + one.route + "/" + one.id
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body of "+one.id))
	if err != nil {
		one.err = err
		return
	}
	request.Host = host
	request.Header.Set("Ryeford-Request-Id", one.id)
	request.Header.Set("Ryeford-Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	key := firstKey
	if one.secondKey {
		key = secondKey
	}
	request.Header.Set("Authorization", "Bearer "+key)
	one.sent = time.Now()
	defer func() { one.ended = time.Now() }()
	response, err := client.Do(request)
	if err != nil {
		one.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	one.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	one.body, one.err = string(body), err
}

// finish stops the callers and returns their calls.
func (c *callers) finish() []call {
	close(c.stop)
	c.group.Wait()
	return c.calls
}
