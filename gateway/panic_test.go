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

// A panickingProtocol is a protocol that panics while a request is forwarded.
type panickingProtocol struct{ platform.Protocol }

// ForwardHeader implements ryeford.Protocol.
func (panickingProtocol) ForwardHeader(http.Header, *ryeford.ForwardMeta) http.Header {
	panic("test panic")
}

// net/http recovers a panic on the request path, so the counters of requests in flight must be
// restored: an endpoint would otherwise count as unresponsive and get no requests.

// TestPanic checks that a request whose request path panics leaves no load and no pending request
// behind.
func TestPanic(t *testing.T) {
	e := newExchangeTest(t)
	e.setEndpoints(startEndpoint(t, &appserver.Server{ID: "e1"}, func() {}))
	protocol := e.forwarder.protocol
	e.forwarder.protocol = panickingProtocol{}
	func() {
		defer func() { assert.Equal(t, recover(), "test panic") }()
		e.serve()
	}()
	e.forwarder.protocol = protocol
	assert.Equal(t, e.forwarder.loads.LocalTotal("s"), 0)
	assert.Assert(t, e.forwarder.detector.Healthy(time.Now().Add(time.Minute), "e1"))
	assert.Equal(t, e.serve().Code, 200)
}
