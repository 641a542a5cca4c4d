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
	// idleMark and headerMark are the timeouts that net/http is given. A
	// callerConn puts the operators' own, which change, in their places.
	idleMark   = 24 * time.Hour
	headerMark = 72 * time.Hour
	// markMargin tells a deadline that stands for a mark from all others.
	markMargin = time.Hour
	// defaultIdle and defaultHeader hold until a configuration is known.
	defaultIdle   = 15 * time.Second
	defaultHeader = 10 * time.Second
)

// callerTimeouts are how long callers' connections may wait; they may change
// while the server runs.
type callerTimeouts interface {
	// idleTimeout returns how long a caller's connection may rest.
	idleTimeout() time.Duration
	// headerTimeout returns how long a caller may take to send a request's header.
	headerTimeout() time.Duration
}

// idleTimeout implements callerTimeouts.
func (c *configuration) idleTimeout() time.Duration {
	if now := c.current(); now != nil && now.Limits().IdleTimeout > 0 {
		return now.Limits().IdleTimeout
	}
	return defaultIdle
}

// headerTimeout implements callerTimeouts.
func (c *configuration) headerTimeout() time.Duration {
	if now := c.current(); now != nil && now.Limits().HeaderTimeout > 0 {
		return now.Limits().HeaderTimeout
	}
	return defaultHeader
}

// A callerListener accepts connections whose timeouts may change while the server
// runs.
type callerListener struct {
	net.Listener
	timeouts callerTimeouts
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, listener: l}, nil
}

// A callerConn is a connection of a callerListener.
type callerConn struct {
	net.Conn
	listener *callerListener
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	switch left := time.Until(t); {
	case t.IsZero():
	case left > headerMark-markMargin:
		t = time.Now().Add(c.listener.timeouts.headerTimeout())
	case left > idleMark-markMargin:
		t = time.Now().Add(c.listener.timeouts.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// ReadFrom passes on to the connection, which may copy without a buffer.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
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
