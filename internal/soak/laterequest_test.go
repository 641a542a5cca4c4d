package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// lateCallers is how many requests are sent to a gateway that stops.
	lateCallers = 50
	// lateShort is after how many of them streams turn slow: 2 s after SIGTERM, so that
	// none has ended by admitTime after it, and the gateway knows of short ones only.
	lateShort = lateCallers / 3
)

// TestLateRequest checks that a gateway that stops takes no request that it has to cut
// off later, if the request was sent more than admitTime after SIGTERM: callers open
// connections until it is gone, and streams turn longer than any that it has seen. It
// fails if one of the late requests is cut off. Times by which the machine stood still
// are allowed for.
func TestLateRequest(t *testing.T) {
	f := newFleet(t, &seriesPlan, 1)
	in := newInjector(f, &seriesPlan)
	client := &http.Client{Timeout: callTime + answerMargin, Transport: &http.Transport{DisableKeepAlives: true}}
	calls := make([]call, lateCallers)
	var group sync.WaitGroup
	group.Go(func() { in.stop(nil, 0) })
	for i := range calls {
		if i == lateShort {
			in.onlySlowStreams()
		}
		group.Go(func() {
			calls[i] = call{id: fmt.Sprintf("late-%d", i), route: routeStream}
			f.send(client, &calls[i])
		})
		time.Sleep(f.bounds.grace / lateCallers)
	}
	group.Wait()
	runs := f.runs()
	late := 0
	for i := range calls {
		c := &calls[i]
		if problem := checkDrain(c, in.evidence(runs[c.id])); problem != "" {
			t.Errorf("%s: %s", c.id, problem)
		}
		if c.sent.After(in.stops[0].ordered.Add(admitTime)) {
			late++
		}
	}
	assert.Assert(t, late > 0, "no request was sent later than %s after SIGTERM", admitTime)
}

// onlySlowStreams leaves only the server with slow streams in the list.
func (in *injector) onlySlowStreams() {
	in.post(serverState(slowServer, stateReady))
	for _, id := range servers {
		if isModel(id) {
			in.post(serverState(id, stateGone))
		}
	}
}
