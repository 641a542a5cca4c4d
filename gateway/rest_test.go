package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/standin/appserver"
)

// Engines turned requests away and asked each router for some seconds of rest. The routers went on
// sending them requests, of which none was run: three reached one endpoint from one router within the time.

// TestRestAsked checks that an endpoint which has refused a request and asked for rest gets at most two
// requests of the router in that time, but for the first half second, in which some may be on their way.
func TestRestAsked(t *testing.T) {
	const rest, onTheWay = 3 * time.Second, 500 * time.Millisecond
	f := startedFixture(t, nil)
	p1 := f.endpoints["p1"]
	p1.SetRest("3")
	p1.SetFault(appserver.FaultShed, -1)
	var end time.Time // of the rest, or just before it
	f.await("a refusal", func() bool {
		end = time.Now().Add(rest)
		f.call("GET", "/open/a")
		return len(p1.Received()) > 0
	})
	time.Sleep(onTheWay)
	received := len(p1.Received())
	for time.Now().Before(end) {
		f.call("GET", "/open/a")
		time.Sleep(20 * time.Millisecond)
	}
	arrived := len(p1.Received()) - received
	assert.Assert(t, arrived <= 2, "%d requests in the time of rest", arrived)
}
