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

// TestRestBeforeFirstByte checks that a request which was chosen for an endpoint before that asked for rest
// is not sent to it, goes to another one at no cost, and counts as no failure of the endpoint.
func TestRestBeforeFirstByte(t *testing.T) {
	e := newExchangeTest(t)
	e.setEndpoints(startEndpoint(t, &appserver.Server{ID: "e1"}, func() {}))
	x := e.forwarder.newExchange(e.request, httptest.NewRequest("GET", "/keyed/a", nil), httptest.NewRecorder())
	to := e.forwarder.roster.Entry("e1")
	x.incoming.Host = "host"
	assert.NilError(t, x.checkSend(to))
	e.forwarder.rests.Ask(time.Now(), "e1", time.Minute)
	err := x.checkSend(to)
	var notRun *ryeford.NotRunError
	assert.Assert(t, errors.As(err, &notRun))
	assert.Equal(t, notRun.Reason, ryeford.ReasonResting)
	assert.Equal(t, endOf(&endpoint.UnsentError{Err: err}), retry.EndUnsent)
}

// TestAllRest checks that a request whose service's endpoints all rest is rejected at once, with the end of
// the earliest rest as its return, and reaches none of them.
func TestAllRest(t *testing.T) {
	e := newExchangeTest(t)
	var addresses []string
	for i, rest := range []string{"2", "30"} {
		server := &appserver.Server{ID: "e" + strconv.Itoa(i+1)}
		server.SetFault(appserver.FaultShed, -1)
		server.SetRest(rest)
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
	left := e.forwarder.restingFor(time.Now(), "s")
	assert.Assert(t, left > 0 && seconds >= left.Seconds()-0.001, "%v, rests for %s", seconds, left)
}
