package gateway

import (
	"net"
	"time"
)

// The idle timeout and the header timeout of callers' connections are limits of the operators'
// configuration and can change while the server runs, but net/http reads both only at the
// server's start. So net/http is given two placeholders, and a callerConn replaces them by the
// current limits whenever net/http sets a read deadline.

const (
	// idlePlaceholder and headerPlaceholder are the timeouts that net/http is given. They are
	// far apart from each other and from any other deadline.
	idlePlaceholder   = 24 * time.Hour
	headerPlaceholder = 72 * time.Hour
	// placeholderMargin is by how much the remaining time may be below a placeholder when the
	// deadline is set.
	placeholderMargin = time.Hour
	// defaultIdle and defaultHeader apply if the operators set no limits.
	defaultIdle   = 15 * time.Second
	defaultHeader = 10 * time.Second
)

func (c *configuration) idleTimeout() time.Duration {
	if current := c.current(); current != nil && current.Limits().IdleTimeout > 0 {
		return current.Limits().IdleTimeout
	}
	return defaultIdle
}

func (c *configuration) headerTimeout() time.Duration {
	if current := c.current(); current != nil && current.Limits().HeaderTimeout > 0 {
		return current.Limits().HeaderTimeout
	}
	return defaultHeader
}

type callerListener struct {
	net.Listener
	configuration *configuration
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, configuration: l.configuration}, nil
}

type callerConn struct {
	net.Conn
	configuration *configuration
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	switch left := time.Until(t); {
	case t.IsZero():
	case left > headerPlaceholder-placeholderMargin:
		t = time.Now().Add(c.configuration.headerTimeout())
	case left > idlePlaceholder-placeholderMargin:
		t = time.Now().Add(c.configuration.idleTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}
