package gateway_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/standin/appserver"
)

// A router that ignores the Retry-After of a refusal keeps sending requests that are refused again: an
// endpoint that refuses everything looks idle and attracts more requests.

// TestBackoff checks that an endpoint that refused a request with a Retry-After gets at most two requests
// until it ends, except for requests that are already on their way in the first half second.
func TestBackoff(t *testing.T) {
	const backoff, inTransit = 3 * time.Second, 500 * time.Millisecond
	f := startedFixture(t, nil)
	p1 := f.endpoints["p1"]
	p1.SetRetryAfter("3")
	p1.SetFault(appserver.FaultShed, -1)
	var end time.Time // end of the back-off, or shortly before it
	f.await("a refusal", func() bool {
		end = time.Now().Add(backoff)
		f.call("GET", "/open/a")
		return len(p1.Received()) > 0
	})
	time.Sleep(inTransit)
	received := len(p1.Received())
	for time.Now().Before(end) {
		f.call("GET", "/open/a")
		time.Sleep(20 * time.Millisecond)
	}
	arrived := len(p1.Received()) - received
	assert.Assert(t, arrived <= 2, "%d requests during the back-off", arrived)
}
