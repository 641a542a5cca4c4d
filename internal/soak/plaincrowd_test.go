package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// plainRoom is the room of a plain server in TestPlainCrowd. Its responses report no load.
	plainRoom = `{"slots":1,"queue":8}`
	// crowdCallers send requests at the same time, crowdDuration long. One in surgeShare belongs to the
	// second client account, all others to the first one, whose surge it is.
	crowdCallers  = 48
	crowdDuration = 5 * time.Second
	surgeShare    = 6
	// refusedPause is how long a caller waits after a refusal.
	refusedPause = 20 * time.Millisecond
	// learningCalls are the calls before the crowd, from which gateways learn how long requests take.
	learningCalls = 100
)

// TestPlainCrowd runs a crowd at plain servers that queue requests, reject those beyond, and report no load, while
// one gateway is killed. It guards against gateways that leave the rejecting to the servers, against a refused request
// that has run or one that runs twice, and against an account that starves beside another one's surge.
func TestPlainCrowd(t *testing.T) {
	f := newFleet(t, &seriesPlan, 3)
	in := newInjector(f, &seriesPlan)
	for _, id := range servers {
		if !isModel(id) {
			assert.NilError(t, f.post(fmt.Sprintf(`{"server":%q,"room":%s,"state":%q}`, id, plainRoom, stateReady)))
		}
	}
	crowd := &plainCrowd{fleet: f}
	for i := range learningCalls {
		crowd.call(i%len(f.gateways), "learn", i, i%2 == 0)
	}
	crowd.calls = nil
	before := f.rejected()
	crowd.run(func() { in.kill(nil, 0) })
	crowd.check(t, f.runs(), f.rejected()-before)
}

// A plainCrowd is the callers of TestPlainCrowd.
type plainCrowd struct {
	fleet *fleet
	mu    sync.Mutex
	calls []call
}

// run runs the crowd, and a fault in its middle.
func (p *plainCrowd) run(fault func()) {
	var group sync.WaitGroup
	until := time.Now().Add(crowdDuration)
	for number := range crowdCallers {
		group.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				c := p.call((number+n)%len(p.fleet.gateways), fmt.Sprintf("crowd-%d", number), n, number%surgeShare == 0)
				if c.status != http.StatusOK {
					time.Sleep(refusedPause)
				}
			}
		})
	}
	time.Sleep(crowdDuration / 2)
	fault()
	group.Wait()
}

// call sends a request that may run once.
func (p *plainCrowd) call(gateway int, name string, n int, second bool) call {
	c := call{id: fmt.Sprintf("%s-%d", name, n), route: routeOnce, gateway: gateway, secondKey: second}
	p.fleet.send(&http.Client{Timeout: callTimeout + responseMargin, Transport: &http.Transport{DisableKeepAlives: true}}, &c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
	return c
}

// check checks the calls, given how often each request ran and how many servers rejected.
func (p *plainCrowd) check(t *testing.T, runs map[string]int, rejected int) {
	served, all := make(map[bool]int), make(map[bool]int) // by account: the second one
	refused := 0
	for i := range p.calls {
		c := &p.calls[i]
		all[c.secondKey]++
		assert.Assert(t, runs[c.id] <= 1, "%s ran %d times", c.id, runs[c.id])
		switch {
		case c.served():
			served[c.secondKey]++
			assert.Assert(t, strings.Contains(c.body, c.id), "%s got the response %q", c.id, c.body)
		case c.status == http.StatusServiceUnavailable:
			refused++
			assert.Equal(t, runs[c.id], 0, "%s was refused and ran", c.id)
		}
	}
	t.Logf("%d calls, %d served, %d refused; servers rejected %d requests", len(p.calls), served[true]+served[false], refused, rejected)
	assert.Assert(t, refused > len(p.calls)/10, "no crowd")
	assert.Assert(t, rejected < refused/2, "the servers rejected %d requests, the gateways refused %d", rejected, refused)
	mean := float64(served[true]+served[false]) / float64(len(p.calls))
	assert.Assert(t, float64(served[true]) >= mean/4*float64(all[true]), "the second account starves: %d of %d served", served[true], all[true])
}

// rejected returns the number of requests that servers had no room for.
func (f *fleet) rejected() int {
	f.t.Helper()
	response, err := http.Get("http://" + f.admin + "/rejected")
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	var rejected int
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(&rejected))
	return rejected
}
