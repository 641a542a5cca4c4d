package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/standin/appserver"
)

// Four engines turned requests away and asked each router for some seconds of rest. The routers went on
// sending them requests, of which none was run, and callers got 503: three reached one engine from one
// router within the time. Nothing read the time that a refusal asks for: it counted as one failure, three in
// a row ejected the engine for a term of the router's own, and since it ran less and less, it looked idle
// and drew the more. What settled it: choices 0.9 to 1.5 s after the refusal, of other requests, for their
// prompts' home or for its low load, and a pause only after the third refusal in a row:
//
//	6.42 decision=try_failed ... endpoint=i-7458edf0fd outcome=not_run sent=1 (asks for 3 s)
//	7.32 decision=send ... endpoint=i-7458edf0fd why=home load=2 mean=2.42
//	7.41 decision=send ... endpoint=i-7458edf0fd why=home load=1 mean=2.33
//	7.91 decision=send ... endpoint=i-7458edf0fd why=home load=1 mean=1.58

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
