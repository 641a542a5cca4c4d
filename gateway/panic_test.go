package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/platform"
	"github.com/ryeford/ryeford/standin/appserver"
)

// A panickingProtocol is a protocol with a fault that a request brings out.
type panickingProtocol struct{ platform.Protocol }

// ForwardHeader implements ryeford.Protocol.
func (panickingProtocol) ForwardHeader(http.Header, *ryeford.ForwardMeta) http.Header { panic("a fault") }

// A panic while a request is sent ends that request: net/http recovers it. What the router counts of requests
// under way has to end with it, too: the endpoint counted as silent from a second later on, whenever it had
// answered nothing else meanwhile, and was left out.

// TestPanic checks that a request whose path panics leaves nothing behind: no load, no request that waits for a
// response.
func TestPanic(t *testing.T) {
	e := newExchangeTest(t)
	e.setEndpoints(startEndpoint(t, &appserver.Server{ID: "e1"}, func() {}))
	protocol := e.forwarder.protocol
	e.forwarder.protocol = panickingProtocol{}
	func() {
		defer func() { assert.Equal(t, recover(), "a fault") }()
		e.serve()
	}()
	e.forwarder.protocol = protocol
	assert.Equal(t, e.forwarder.loads.Total("s"), 0)
	assert.Assert(t, e.forwarder.detector.Healthy(time.Now().Add(time.Minute), "e1"))
	assert.Equal(t, e.serve().Code, 200)
}
