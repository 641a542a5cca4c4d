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
	// lateRequestCount is how many requests are sent to a gateway that stops.
	lateRequestCount = 50
	// shortRequestCount is after how many of them requests turn long: 2 s after SIGTERM, so that
	// none of these has ended by admitWindow after it, and the gateway knows of short ones
	// only.
	shortRequestCount = lateRequestCount / 3
)

// TestLateRequest checks that a gateway that stops takes no request that it has to cut
// off later, if the request was sent more than admitWindow after SIGTERM: callers open
// connections until it is gone, and requests turn longer than any that it has seen, because
// streams turn slow or servers hang. It fails if one of the late requests is cut off, or if one that is not taken gets no answer.
// Times by which the machine stood still are allowed for.
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

// onlySlowStreams leaves only the server with slow streams in the list.
func (in *injector) onlySlowStreams() {
	in.setState(slowServer, stateReady)
	for _, id := range servers {
		if isModel(id) {
			in.setState(id, stateGone)
		}
	}
}

// allHang makes all servers run each request and answer none.
func (in *injector) allHang() {
	in.post(fmt.Sprintf(`{"fault":%q,"requests":-1}`, appserver.FaultHang))
}
