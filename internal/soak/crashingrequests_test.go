package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// poisonBody is the request body that crashes a server, and poisonKinds is the number
	// of different poison requests that carry it.
	poisonBody  = "ends what runs it"
	poisonKinds = 4
	// poisonPause bounds the pause between two requests of one kind, and poisonDuration is
	// how long they are sent.
	poisonPause    = 150 * time.Millisecond
	poisonDuration = 12 * time.Second
	// maxLateRuns is the maximum number of requests of a kind that may reach servers after
	// three of them crashed a server and bounds.contact has elapsed.
	maxLateRuns = 3
)

// TestCrashingRequests guards against poison requests that are not quarantined while
// several kinds arrive at all gateways and gateways are killed, and against a quarantine of
// other requests with the same path or client account.
func TestCrashingRequests(t *testing.T) {
	const seed = 1
	f := newFleet(t, &basicPlan, 3)
	f.eventually("all have peers", f.peersAlive(2))
	assert.NilError(t, f.post(fmt.Sprintf(`{"crash_body":%q}`, poisonBody)))
	c := &poisonSenders{fleet: f, until: time.Now().Add(poisonDuration)}
	var group sync.WaitGroup
	for kind := range poisonKinds {
		group.Go(func() { c.send(kind, rand.New(rand.NewPCG(seed, uint64(kind)))) })
	}
	otherCount := 0
	group.Go(func() { otherCount = c.sendOthers(rand.New(rand.NewPCG(seed, poisonKinds))) })
	for i := range f.gateways {
		time.Sleep(poisonDuration / 5)
		<-f.gateways[i].end(syscall.SIGKILL).done // the fleet restarts it
	}
	group.Wait()
	runs, ended := f.runs(), 0
	for kind := range poisonKinds {
		sent, ran, late := c.countRuns(kind, runs)
		t.Logf("kind %d: %d sent, %d crashed a server, %d of them late", kind, sent, ran, late)
		assert.Check(t, late <= maxLateRuns, "kind %d: %d late", kind, late)
		ended += ran
	}
	// A kind may be quarantined earlier if its requests ran at the same time as those of
	// another.
	assert.Assert(t, ended >= 2*poisonKinds, "only %d requests crashed a server", ended)
	t.Logf("%d other requests", otherCount)
	assert.Assert(t, otherCount > 0)
	assert.Equal(t, len(c.held), 0, "requests that crash nothing were held: %v", c.held)
}

// poisonSenders send poison requests and other requests at the same time.
type poisonSenders struct {
	fleet *fleet
	until time.Time

	mu   sync.Mutex
	sent []poisonRequest
	held []string // IDs of other requests that were held
}

// A poisonRequest is one sent request that crashes the server that runs it.
type poisonRequest struct {
	id          string
	kind        int
	sent, ended time.Time
}

// send sends requests of one kind.
func (c *poisonSenders) send(kind int, random *rand.Rand) {
	for n := 0; time.Now().Before(c.until); n++ {
		request := poisonRequest{id: fmt.Sprintf("crash-%d-%d", kind, n), kind: kind}
		c.postRecorded(random, request, fmt.Sprintf("/stream/kind-%d", kind), poisonBody, "")
		pause(random, poisonPause)
	}
}

// postRecorded sends a poison request and records it.
func (c *poisonSenders) postRecorded(random *rand.Rand, request poisonRequest, path, body, prompt string) {
	request.sent = time.Now()
	c.post(random, request.id, path, body, prompt)
	request.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, request)
}

// sendOthers sends requests with the paths of the poison requests but other bodies, which
// repeat. It returns the number of requests.
func (c *poisonSenders) sendOthers(random *rand.Rand) int {
	n := 0
	for ; time.Now().Before(c.until); n++ {
		id := fmt.Sprintf("other-%d", n)
		c.postSound(random, id, fmt.Sprintf("/stream/kind-%d", n%poisonKinds), fmt.Sprintf("body %d", n%3), "")
		pause(random, poisonPause/4)
	}
	return n
}

// postSound sends a request that crashes nothing, and records whether it was held.
func (c *poisonSenders) postSound(random *rand.Rand, id, path, body, prompt string) {
	response := c.post(random, id, path, body, prompt)
	if response == nil || response.Header.Get("X-Should-Retry") == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = append(c.held, id)
}

// post sends a request to a random gateway and returns the head of the response, or nil if
// none arrived. prompt describes its prompt, and is empty if it has none.
func (c *poisonSenders) post(random *rand.Rand, id, path, body, prompt string) *http.Response {
	g := c.fleet.gateways[random.IntN(len(c.fleet.gateways))]
	request, err := http.NewRequest(http.MethodPost, "http://"+g.callers+path, strings.NewReader(body))
	if err != nil {
		return nil
	}
	request.Host = host
	request.Header.Set("Ryeford-Request-Id", id)
	request.Header.Set("Ryeford-Deadline-Ms", "4000")
	request.Header.Set("Authorization", "Bearer "+firstKey)
	if prompt != "" {
		request.Header.Set("Ryeford-Prompt-Prefix", prompt)
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil
	}
	_ = response.Body.Close()
	return response
}

// countRuns returns how many requests of a kind were sent, how many of them crashed a
// server, and how many of these were sent more than bounds.contact after the third crash.
func (c *poisonSenders) countRuns(kind int, runs map[string]int) (sent, ran, late int) {
	return c.countRunsAfter(kind, runs, 3)
}

// countRunsAfter is countRuns for requests that may run until a number of them have crashed a server.
func (c *poisonSenders) countRunsAfter(kind int, runs map[string]int, crashes int) (sent, ran, late int) {
	var reached []poisonRequest
	for _, request := range c.sent {
		if request.kind != kind {
			continue
		}
		sent++
		if runs[request.id] > 0 {
			reached = append(reached, request)
		}
	}
	if len(reached) < crashes {
		return sent, len(reached), 0
	}
	slices.SortFunc(reached, func(a, b poisonRequest) int { return a.ended.Compare(b.ended) })
	bound := reached[crashes-1].ended.Add(c.fleet.bounds.contact)
	for _, request := range reached {
		if request.sent.After(bound) {
			late++
		}
	}
	return sent, len(reached), late
}
