package gateway

import (
	"io"
	stdlog "log"
	"net"
	"strings"
	"time"

	"github.com/go-kit/log"
)

const (
	// idleMark is the idle timeout that net/http is given. An idleConn puts the
	// operators' own, which changes, in its place.
	idleMark = 24 * time.Hour
	// idleNear tells a deadline that stands for idleMark from all others.
	idleNear = 23 * time.Hour
	// defaultIdle holds until a configuration is known.
	defaultIdle    = 15 * time.Second
	maxHeaderTime  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// idleTimeout returns how long a caller's connection may rest.
func (g *Gateway) idleTimeout() time.Duration {
	if c := g.catalog.Get(); c != nil && c.Limits().IdleTimeout > 0 {
		return c.Limits().IdleTimeout
	}
	return defaultIdle
}

// An idleListener accepts connections whose idle timeout may change while the
// server runs.
type idleListener struct {
	net.Listener
	timeout func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, timeout: l.timeout}, nil
}

// An idleConn is a connection of an idleListener.
type idleConn struct {
	net.Conn
	timeout func() time.Duration
}

// SetReadDeadline implements net.Conn.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && time.Until(t) > idleNear {
		t = time.Now().Add(c.timeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// ReadFrom passes on to the connection, which may copy without a buffer.
func (c *idleConn) ReadFrom(r io.Reader) (int64, error) {
	if readerFrom, ok := c.Conn.(io.ReaderFrom); ok {
		return readerFrom.ReadFrom(r)
	}
	return io.Copy(struct{ io.Writer }{c.Conn}, r)
}

// newServerLog returns the log of net/http's server.
func newServerLog(logger log.Logger) *stdlog.Logger {
	return stdlog.New(&serverLogWriter{log: logger}, "", 0)
}

type serverLogWriter struct {
	log log.Logger
}

// Write implements io.Writer.
func (w *serverLogWriter) Write(line []byte) (int, error) {
	_ = w.log.Log("msg", "http server", "text", strings.TrimSpace(string(line)))
	return len(line), nil
}
