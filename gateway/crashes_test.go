package gateway

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/internal/telemetry"
)

// TestCrashAfterLivingCheck guards against a crash that goes unnoticed because the endpoint was found alive shortly
// before, when only a connection broke.
func TestCrashAfterLivingCheck(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	to := &roster.Entry{Endpoint: ryeford.Endpoint{ID: "e", Address: address}}
	detector := newCrashDetector(log.NewNopLogger(), telemetry.NewSet())
	assert.Assert(t, !detector.crashed(to, time.Now()))
	assert.NilError(t, listener.Close())
	assert.Assert(t, detector.crashed(to, time.Now()))
	assert.Assert(t, detector.crashed(to, time.Now()), "found out once")
}
