package gateway

import (
	"errors"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/endpoint"
	"github.com/ryeford/ryeford/retry"
	"github.com/ryeford/ryeford/standin/appserver"
)

// TestExclusionBeforeFirstByte checks that a request is not sent to an endpoint that was excluded after it
// was chosen, and that this counts as an unsent attempt, which is retried without charge.
func TestExclusionBeforeFirstByte(t *testing.T) {
	evacuated := ryeford.Evacuations{Revision: 2, Orders: []ryeford.Evacuation{{State: 2}}} // evacuates the domain without a name
	for reason, exclude := range map[ryeford.Reason]func(b *balancer){
		ryeford.ReasonBackingOff: func(b *balancer) { b.backoffs.Start(time.Now(), "e1", time.Minute) },
		ryeford.ReasonLeaving:    func(b *balancer) { b.roster.MarkLeaving(time.Now(), "e1") },
		ryeford.ReasonEvacuated:  func(b *balancer) { b.roster.SetEvacuated(time.Now(), evacuated) },
	} {
		t.Run(string(reason), func(t *testing.T) {
			e := newExchangeTest(t)
			e.setEndpoints(startEndpoint(t, &appserver.Server{ID: "e1"}, func() {}))
			x := e.forwarder.newExchange(e.request, httptest.NewRequest("GET", "/keyed/a", nil), httptest.NewRecorder())
			x.incoming.Host = "host"
			to := e.forwarder.roster.Entry("e1")
			assert.NilError(t, x.checkSend(to))
			exclude(e.forwarder.balancer)
			err := x.checkSend(to)
			var notRun *ryeford.NotRunError
			assert.Assert(t, errors.As(err, &notRun))
			assert.Equal(t, notRun.Reason, reason)
			assert.Equal(t, classifySendError(&endpoint.UnsentError{Err: err}), retry.EndUnsent)
		})
	}
}

// TestAllBackingOff checks that a request is refused without an attempt while all endpoints of its service
// are backing off, and that its Retry-After does not end before the first back-off does.
func TestAllBackingOff(t *testing.T) {
	e := newExchangeTest(t)
	var addresses []string
	for i, backoff := range []string{"2", "30"} {
		server := &appserver.Server{ID: "e" + strconv.Itoa(i+1)}
		server.SetFault(appserver.FaultShed, -1)
		server.SetRetryAfter(backoff)
		addresses = append(addresses, startEndpoint(t, server, func() {}))
	}
	e.setEndpoints(addresses...)
	assert.Equal(t, e.serve().Code, 503)
	assert.Equal(t, e.sends(), 2)
	e.log.Reset()
	e.request.meta.Timeout = time.Minute
	w := e.serve()
	assert.Equal(t, w.Code, 503)
	assert.Equal(t, e.sends(), 0)
	assert.Assert(t, strings.Contains(e.log.String(), "resting=2"), e.log.String())
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	left := e.forwarder.backingOffFor(time.Now(), "s")
	assert.Assert(t, left > 0 && seconds >= left.Seconds()-0.001, "Retry-After %v, backing off for %s", seconds, left)
}
