package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/standin/appserver"
)

const (
	// lateRequestCount is the number of requests that are sent to a gateway that stops.
	lateRequestCount = 50
	// shortRequestCount is how many of them are short. The first long request is sent 2 s
	// after SIGTERM, so that no long one has ended by admitWindow and the gateway has only
	// seen short ones end.
	shortRequestCount = lateRequestCount / 3
)

// TestLateRequest guards against a stopping gateway that admits a request more than
// admitWindow after SIGTERM and interrupts it, or closes one without a response, when
// requests become longer than any before: streams turn slow or servers hang. Stalls of the
// machine are allowed for.
func TestLateRequest(t *testing.T) {
	for _, test := range []struct {
		name, route string
		makeSlow    func(in *injector) // makes requests on the route long
	}{
		{"slow streams", routeStream, (*injector).onlySlowStreams},
		{"servers hang", routeOnce, (*injector).allHang},
	} {
		t.Run(test.name, func(t *testing.T) { testLateRequest(t, test.route, test.makeSlow) })
	}
}

func testLateRequest(t *testing.T, route string, makeSlow func(in *injector)) {
	f := newFleet(t, &seriesPlan, 1)
	in := newInjector(f, &seriesPlan)
	client := &http.Client{Timeout: callTimeout + responseMargin, Transport: &http.Transport{DisableKeepAlives: true}}
	calls := make([]call, lateRequestCount)
	var group sync.WaitGroup
	group.Go(func() { in.stop(nil, 0) })
	for i := range calls {
		if i == shortRequestCount {
			makeSlow(in)
		}
		group.Go(func() {
			calls[i] = call{id: fmt.Sprintf("late-%d", i), route: route}
			f.send(client, &calls[i])
		})
		time.Sleep(f.bounds.grace / lateRequestCount)
	}
	group.Wait()
	runs := f.runs()
	recordCloses(calls, runs, in)
	late := 0
	for i := range calls {
		c := &calls[i]
		for _, check := range []func(*call, *runRecord) string{checkDrain, checkClosed} {
			if problem := check(c, in.record(runs[c.id])); problem != "" {
				t.Errorf("%s: %s", c.id, problem)
			}
		}
		if c.sent.After(in.stops[0].signaled.Add(admitWindow)) {
			late++
		}
	}
	assert.Assert(t, late > 0, "no request was sent later than %s after SIGTERM", admitWindow)
}

// onlySlowStreams leaves only slowServer in the list of the model service's servers.
func (in *injector) onlySlowStreams() {
	in.setState(slowServer, stateReady)
	for _, id := range servers {
		if isModel(id) {
			in.setState(id, stateGone)
		}
	}
}

// allHang makes all servers run each request without a response.
func (in *injector) allHang() {
	in.post(fmt.Sprintf(`{"fault":%q,"requests":-1}`, appserver.FaultHang))
}
