package gateway

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/catalog"
)

// A deadlineConn records the read deadline that is set on it.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// TestCallerTimeouts checks that net/http's placeholders are replaced by the timeouts of the current
// configuration, and that other deadlines are not changed.
func TestCallerTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConfiguration(configurationOptions{})
		conn := &deadlineConn{}
		caller := &callerConn{Conn: conn, configuration: c}
		left := func(timeout time.Duration) time.Duration {
			assert.NilError(t, caller.SetReadDeadline(time.Now().Add(timeout)))
			return time.Until(conn.deadline)
		}
		assert.Equal(t, left(idlePlaceholder), defaultIdle)
		assert.Equal(t, left(headerPlaceholder), defaultHeader)
		assert.Equal(t, left(15*time.Second), 15*time.Second)
		c.inForce.Put(catalog.New(&ryeford.Configuration{Version: 1, Limits: ryeford.RequestLimits{
			IdleTimeout: 7 * time.Second, HeaderTimeout: 3 * time.Second,
		}}))
		assert.Equal(t, left(idlePlaceholder), 7*time.Second)
		assert.Equal(t, left(headerPlaceholder), 3*time.Second)
		assert.NilError(t, caller.SetReadDeadline(time.Time{}))
		assert.Assert(t, conn.deadline.IsZero())
	})
}
